package ctl

import (
	"encoding/json"
	"strings"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// outCentre is a data centre that is out of service.
type outCentre struct {
	name    string
	version object.Version // of its object: the write that took it out of service, or a later one
}

// otherCentresOut returns the data centres other than name that are out of service, in the
// order in which the backend lists them.
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

// checkNoOtherOut returns an error if a data centre other than name is out of service. Only
// one may be out at a time, unless the operator forces it.
func checkNoOtherOut(env *Env, name string) error {
	others, err := otherCentresOut(env, name)
	if err != nil || len(others) == 0 {
		return err
	}
	return failf(ExitNoCapacity, "%s is out already: bring it back before %s goes, or give --force", joinNames(others), name)
}

// revertIfLater resolves the race of two commands that each take a data centre out of
// service after neither saw the other's. It brings name back into service, and returns an
// error, if another data centre was taken out by an earlier write than this command's.
// Versions are global, so of two commands that race, only the one that wrote later reverts.
func revertIfLater(env *Env, name string, version object.Version, value *object.DataCentre) error {
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
	if _, err := writeObject(env, name, version, value); err != nil {
		return err
	}
	return failf(ExitConflict, "%s was taken out of service at the same time, earlier than %s, which is back in service: check both, or give --force", joinNames(earlier), name)
}

func joinNames(centres []outCentre) string {
	var all []string
	for _, c := range centres {
		all = append(all, "data centre "+c.name)
	}
	return strings.Join(all, ", ")
}
