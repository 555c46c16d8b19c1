package conf

import "github.com/rhubarbswitch/rhubarbswitch/internal/object"

// Object returns a watched object of any kind.
func (t *Table) Object(kind object.Kind, name string) (object.Object, bool) {
	o, ok := t.entries[key{kind, name}]
	return o, ok
}

// Names returns the names of a kind's objects, sorted. The slice must not be changed.
func (t *Table) Names(kind object.Kind) []string { return t.names[kind] }

// Objects returns a kind's objects, sorted by name.
func (t *Table) Objects(kind object.Kind) []object.Object {
	objects := make([]object.Object, 0, len(t.names[kind]))
	for _, name := range t.names[kind] {
		objects = append(objects, t.entries[key{kind, name}])
	}
	return objects
}

func get[T object.Value](t *Table, kind object.Kind, name string) (T, bool) {
	v, ok := t.entries[key{kind, name}].Value.(T)
	return v, ok
}

// Contract returns the contract of a customer.
func (t *Table) Contract(customer string) (*object.Contract, bool) {
	return get[*object.Contract](t, object.KindContract, customer)
}

// ContractByKey returns the customer whose contract lists the hash of a key. If several contracts
// list it, the first by name counts, so that all daemons agree.
func (t *Table) ContractByKey(hash string) (customer string, c *object.Contract, ok bool) {
	names := t.customersByKey[hash]
	if len(names) == 0 {
		return "", nil, false
	}
	c, ok = t.Contract(names[0])
	return names[0], c, ok
}

// Model returns a model by name.
func (t *Table) Model(name string) (*object.Model, bool) {
	return get[*object.Model](t, object.KindModel, name)
}

// Service returns a plain service by name.
func (t *Table) Service(name string) (*object.Service, bool) {
	return get[*object.Service](t, object.KindService, name)
}

// DataCentre returns the object with which operators take a data centre out of service. A data
// centre without one is in service.
func (t *Table) DataCentre(name string) (*object.DataCentre, bool) {
	return get[*object.DataCentre](t, object.KindDataCentre, name)
}

// Host returns the object with which operators take a host out of service. A host without one is
// in service.
func (t *Table) Host(name string) (*object.Host, bool) {
	return get[*object.Host](t, object.KindHost, name)
}

// Domain returns a fabric domain's assignment of hosts to groups and its version. Both are zero
// if there is none.
func (t *Table) Domain(name string) (*object.Domain, object.Version) {
	o := t.entries[key{object.KindDomain, name}]
	d, _ := o.Value.(*object.Domain)
	return d, o.Version
}
