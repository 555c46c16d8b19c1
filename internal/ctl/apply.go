package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/backend"
	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/diff"
	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/manifest"
	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/render"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

type applyCommand struct {
	Paths  []string `arg:"" help:"Files or folders of objects as JSON with comments; - reads standard input."`
	DryRun bool     `help:"Show what would change and write nothing."`
	WaitFlags
}

// action is what apply does with an object. Its values are printed and written as JSON.
type action string

const (
	actionCreate    action = "create"
	actionChange    action = "change"
	actionUnchanged action = "unchanged"
)

// plannedChange is what an apply does with one object.
type plannedChange struct {
	Kind    object.Kind     `json:"kind"`
	Name    string          `json:"name"`
	Action  action          `json:"action"`
	Read    object.Version  `json:"read"`              // version on which the change is made; 0 creates
	Version object.Version  `json:"version,omitempty"` // version after the change
	Diff    []diff.Change   `json:"diff,omitempty"`    // from the current value to the one in the file
	value   json.RawMessage // value to write
}

// Run checks all files, compares every object with its current version, and then shows and
// writes the changes one after the other. It stops at the first write that fails.
func (c *applyCommand) Run(env *Env) error {
	items, err := manifest.Read(env.In, c.Paths...)
	if err != nil {
		return withCode(ExitInvalid, err)
	}
	changes := make([]plannedChange, 0, len(items))
	for _, item := range items {
		planned, err := planChange(env, item)
		if err != nil {
			return err
		}
		changes = append(changes, planned)
	}
	var newest object.Version
	for i := range changes {
		err := c.applyChange(env, &changes[i])
		newest = max(newest, changes[i].Version)
		if err != nil {
			c.reportPartialApply(env, changes[:i], changes[i:])
			return err
		}
	}
	if env.Output == render.FormatJSON {
		if err := render.JSON(env.Out, changes); err != nil {
			return err
		}
	}
	if c.DryRun {
		return nil
	}
	return c.awaitInForce(env, newest)
}

// planChange compares an object of a file with its current version. It returns a conflict if
// the file names another version than the current one.
func planChange(env *Env, item manifest.Item) (plannedChange, error) {
	planned := plannedChange{Kind: item.Kind, Name: item.Name, Action: actionChange}
	current, err := env.Backend.Get(env.Context, item.Kind, item.Name)
	if backend.CodeOf(err) == operatorapi.CodeNotFound {
		planned.Action, err = actionCreate, nil
	}
	if err != nil {
		return planned, err
	}
	planned.Read = current.Version
	if item.Version != nil && *item.Version != current.Version {
		return planned, withCode(ExitConflict, fmt.Errorf("%s: %s", item.File,
			operatorapi.ConflictMessage(item.Kind, item.Name, *item.Version, current.Version)))
	}
	if planned.value, err = json.Marshal(item.Value); err != nil {
		return planned, err
	}
	if planned.Diff, err = diff.JSON(current.Value, planned.value); err != nil {
		return planned, err
	}
	if planned.Action == actionChange && len(planned.Diff) == 0 {
		planned.Action, planned.Version = actionUnchanged, current.Version
	}
	return planned, nil
}

// applyChange shows one change and writes it, unless this is a dry run or nothing changes.
func (c *applyCommand) applyChange(env *Env, planned *plannedChange) error {
	if env.Output != render.FormatJSON {
		_, _ = fmt.Fprintf(env.Out, "%s %s: %s (version read: %d)\n", planned.Kind, planned.Name, planned.Action, planned.Read)
		for _, d := range planned.Diff {
			_, _ = fmt.Fprintf(env.Out, "    %s\n", d)
		}
	}
	if c.DryRun || planned.Action == actionUnchanged {
		return nil
	}
	written, err := env.Backend.Put(env.Context, planned.Kind, planned.Name, planned.Read, planned.value)
	if err != nil {
		return err
	}
	planned.Version = written.Version
	env.Notef("%s %s accepted as version %d", planned.Kind, planned.Name, written.Version)
	return nil
}

// reportPartialApply reports how many objects were written by an apply that a failed write
// stopped.
func (c *applyCommand) reportPartialApply(env *Env, done, left []plannedChange) {
	if c.DryRun || len(done)+len(left) < 2 {
		return
	}
	env.Notef("applied %d of %d objects and stopped at %s %s, the objects after it were not written: correct it and apply again",
		len(done), len(done)+len(left), left[0].Kind, left[0].Name)
}
