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

// action says what apply does with an object.
type action string

const (
	actionCreate action = "create"
	actionChange action = "change"
	actionKeep   action = "unchanged"
)

// change is one object of an apply: what stands and what is wanted.
type change struct {
	Kind    object.Kind    `json:"kind"`
	Name    string         `json:"name"`
	Action  action         `json:"action"`
	Read    object.Version `json:"read"`              // version on which the change is made
	Version object.Version `json:"version,omitempty"` // after the change
	Diff    []diff.Change  `json:"diff,omitempty"`
	value   json.RawMessage
}

// Run checks every file, shows the differences and writes them.
func (c *applyCommand) Run(env *Env) error {
	items, err := manifest.Read(env.In, c.Paths...)
	if err != nil {
		return withCode(ExitInvalid, err)
	}
	changes := make([]change, 0, len(items))
	for _, item := range items {
		planned, err := plan(env, item)
		if err != nil {
			return err
		}
		changes = append(changes, planned)
	}
	var newest object.Version
	for i := range changes {
		err := c.carryOut(env, &changes[i])
		newest = max(newest, changes[i].Version)
		if err != nil {
			c.tellPartial(env, changes[:i], changes[i:])
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
	return c.await(env, newest)
}

func plan(env *Env, item manifest.Item) (change, error) {
	planned := change{Kind: item.Kind, Name: item.Name, Action: actionChange}
	standing, err := env.Backend.Get(env.Context, item.Kind, item.Name)
	if backend.CodeOf(err) == operatorapi.CodeNotFound {
		planned.Action, err = actionCreate, nil
	}
	if err != nil {
		return planned, err
	}
	planned.Read = standing.Version
	if item.Version != nil && *item.Version != standing.Version {
		return planned, withCode(ExitConflict, fmt.Errorf("%s: %s", item.File,
			operatorapi.ConflictMessage(item.Kind, item.Name, *item.Version, standing.Version)))
	}
	if planned.value, err = json.Marshal(item.Value); err != nil {
		return planned, err
	}
	if planned.Diff, err = diff.JSON(standing.Value, planned.value); err != nil {
		return planned, err
	}
	if planned.Action == actionChange && len(planned.Diff) == 0 {
		planned.Action, planned.Version = actionKeep, standing.Version
	}
	return planned, nil
}

func (c *applyCommand) carryOut(env *Env, planned *change) error {
	if env.Output != render.FormatJSON {
		_, _ = fmt.Fprintf(env.Out, "%s %s: %s (version read: %d)\n", planned.Kind, planned.Name, planned.Action, planned.Read)
		for _, d := range planned.Diff {
			_, _ = fmt.Fprintf(env.Out, "    %s\n", d)
		}
	}
	if c.DryRun || planned.Action == actionKeep {
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

// tellPartial says which objects of an apply that failed half-way stand.
func (c *applyCommand) tellPartial(env *Env, done, left []change) {
	if c.DryRun || len(done)+len(left) < 2 {
		return
	}
	env.Notef("%d of %d objects were dealt with; from %s %s on nothing was written: correct it and apply again",
		len(done), len(done)+len(left), left[0].Kind, left[0].Name)
}
