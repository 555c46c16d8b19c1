package ctl

import (
	"encoding/json"
	"strings"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// outCentre is a data centre that is out of service.
type outCentre struct {
	name    string
	version object.Version // of the write that took it out, or a later one
}

// otherCentresOut returns the data centres that are out beside one, by name.
func otherCentresOut(env *Env, name string) ([]outCentre, error) {
	items, err := env.Backend.List(env.Context, object.KindDataCentre)
	if err != nil {
		return nil, err
	}
	var others []outCentre
	for _, o := range items {
		var v object.DataCentre
		if err := json.Unmarshal(o.Value, &v); err != nil {
			return nil, err
		}
		if v.Out && o.Name != name {
			others = append(others, outCentre{o.Name, o.Version})
		}
	}
	return others, nil
}

// onlyOneOut refuses to take a second data centre out.
func onlyOneOut(env *Env, name string) error {
	others, err := otherCentresOut(env, name)
	if err != nil || len(others) == 0 {
		return err
	}
	return failf(ExitNoCapacity, "%s is out already: bring it back before %s goes, or give --force", names(others), name)
}

// yield takes back what this command wrote if another data centre had gone out between
// its look and its write. Versions are global, so of two commands that race the one
// that wrote later finds the earlier write, and only that one yields.
func yield(env *Env, name string, version object.Version, value *object.DataCentre) error {
	others, err := otherCentresOut(env, name)
	if err != nil {
		return err
	}
	var earlier []outCentre
	for _, o := range others {
		if o.version < version {
			earlier = append(earlier, o)
		}
	}
	if len(earlier) == 0 {
		return nil
	}
	value.Out, value.Reason = false, ""
	if _, err := write(env, name, version, value); err != nil {
		return err
	}
	return failf(ExitConflict, "%s went out at the same time and before %s, which is in again: look at both, or give --force", names(earlier), name)
}

func names(centres []outCentre) string {
	var all []string
	for _, c := range centres {
		all = append(all, "data centre "+c.name)
	}
	return strings.Join(all, ", ")
}
