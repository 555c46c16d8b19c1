package ctl

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/diff"
	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/manifest"
	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/render"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

type getCommand struct {
	Kind string `arg:"" help:"Kind: contract, model, service, datacentre, host, or a record: domain, daemon, lease, account."`
	Name string `arg:"" optional:"" help:"Name; without it every object of the kind is shown."`
}

// Run shows one object or all objects of a kind. The JSON output can be edited and applied.
func (c *getCommand) Run(env *Env) error {
	if c.Name != "" {
		o, err := env.Backend.Get(env.Context, object.Kind(c.Kind), c.Name)
		if err != nil {
			return err
		}
		return env.Print(o, func() *render.Table { return fieldTable(o) })
	}
	items, err := env.Backend.List(env.Context, object.Kind(c.Kind))
	if err != nil {
		return err
	}
	return env.Print(items, func() *render.Table {
		t := &render.Table{Header: []string{"KIND", "NAME", "VERSION", "VALUE"}}
		for _, o := range items {
			t.Add(o.Kind, o.Name, o.Version, truncate(string(o.Value)))
		}
		return t
	})
}

// maxValueChars is the number of characters of a value that a table shows. Longer values are
// truncated.
const maxValueChars = 80

func truncate(text string) string {
	if runes := []rune(text); len(runes) > maxValueChars {
		return string(runes[:maxValueChars]) + "..."
	}
	return text
}

func fieldTable(o operatorapi.Object) *render.Table {
	t := &render.Table{Header: []string{"FIELD", "VALUE"}}
	t.Add("kind", o.Kind)
	t.Add("name", o.Name)
	t.Add("version", o.Version)
	fields, err := diff.JSON(nil, o.Value)
	if err != nil {
		t.Add("value", string(o.Value))
	}
	for _, f := range fields {
		t.Add(f.Path, f.New)
	}
	return t
}

type describeCommand struct {
	Kind string `arg:"" help:"Kind of the object."`
	Name string `arg:"" help:"Name of the object."`
}

// objectDescription is an object with the status of the groups and services that it concerns.
type objectDescription struct {
	Object   operatorapi.Object          `json:"object"`
	Groups   []operatorapi.GroupStatus   `json:"groups,omitempty"`
	Services []operatorapi.ServiceStatus `json:"services,omitempty"`
}

// Run shows one object and the status of the groups and services that it concerns.
func (c *describeCommand) Run(env *Env) error {
	o, err := env.Backend.Get(env.Context, object.Kind(c.Kind), c.Name)
	if err != nil {
		return err
	}
	d := objectDescription{Object: o}
	status, err := env.Backend.Status(env.Context)
	if err != nil {
		env.Notef("status not shown: %v", err)
	}
	for _, g := range status.Groups {
		if concernsGroup(o, g) {
			d.Groups = append(d.Groups, g)
		}
	}
	for _, s := range status.Services {
		if concernsService(o, s) {
			d.Services = append(d.Services, s)
		}
	}
	if env.Output == render.FormatJSON {
		return render.JSON(env.Out, d)
	}
	if err := fieldTable(o).WriteText(env.Out); err != nil {
		return err
	}
	return writeTargetTables(env, d.Groups, d.Services)
}

func concernsGroup(o operatorapi.Object, g operatorapi.GroupStatus) bool {
	switch o.Kind {
	case object.KindModel:
		return g.Model == o.Name
	case object.KindDataCentre:
		return g.DataCentre == o.Name
	case object.KindDomain:
		return g.Domain == o.Name
	case object.KindHost:
		return slices.Contains(g.Members, o.Name)
	}
	return false
}

func concernsService(o operatorapi.Object, s operatorapi.ServiceStatus) bool {
	switch o.Kind {
	case object.KindService:
		return s.Service == o.Name
	case object.KindDataCentre:
		return s.DataCentre == o.Name
	case object.KindHost:
		return s.Host == o.Name
	}
	return false
}

type deleteCommand struct {
	Kind      string `arg:"" help:"Kind of the object."`
	Name      string `arg:"" help:"Name of the object."`
	IfVersion uint64 `help:"Delete only if this version stands; without it, the version read now."`
}

// Run deletes one object, conditional on the version read.
func (c *deleteCommand) Run(env *Env) error {
	kind, version := object.Kind(c.Kind), object.Version(c.IfVersion)
	if version == 0 {
		o, err := env.Backend.Get(env.Context, kind, c.Name)
		if err != nil {
			return err
		}
		version = o.Version
	}
	if err := env.Backend.Delete(env.Context, kind, c.Name, version); err != nil {
		return err
	}
	env.Notef("%s %s deleted; its last version was %d", kind, c.Name, version)
	return nil
}

type validateCommand struct {
	Paths []string `arg:"" help:"Files or folders of objects; - reads standard input."`
}

// Run checks the files. It needs no backend.
func (c *validateCommand) Run(env *Env) error {
	items, err := manifest.Read(env.In, c.Paths...)
	if err != nil {
		return withCode(ExitInvalid, err)
	}
	_, err = fmt.Fprintf(env.Out, "%d objects are valid\n", len(items))
	return err
}

// readObject reads an object into value and returns its version. If the object does not
// exist, it leaves value unchanged and returns version 0.
func readObject(env *Env, name string, value object.Value) (object.Version, error) {
	o, err := env.Backend.Get(env.Context, value.Kind(), name)
	if err != nil {
		if exitCodeOf(err) == ExitNotFound {
			return 0, nil
		}
		return 0, err
	}
	return o.Version, json.Unmarshal(o.Value, value)
}

// writeObject checks a value and writes it if the object still has the version ifVersion; 0
// creates the object. It returns the new version.
func writeObject(env *Env, name string, ifVersion object.Version, value object.Value) (object.Version, error) {
	if err := value.Check(); err != nil {
		return 0, withCode(ExitInvalid, err)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	o, err := env.Backend.Put(env.Context, value.Kind(), name, ifVersion, data)
	return o.Version, err
}
