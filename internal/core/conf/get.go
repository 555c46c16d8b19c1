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

// ContractByKey returns the customer whose contract lists the hash of a key. If
// several do, it is the first by name, the same on every daemon.
func (t *Table) ContractByKey(hash string) (customer string, c *object.Contract, ok bool) {
	names := t.owners[hash]
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

// DataCentre returns the operators' word on a data centre; absent means in service.
func (t *Table) DataCentre(name string) (*object.DataCentre, bool) {
	return get[*object.DataCentre](t, object.KindDataCentre, name)
}

// Host returns the operators' word on a host; absent means in service.
func (t *Table) Host(name string) (*object.Host, bool) {
	return get[*object.Host](t, object.KindHost, name)
}

// Domain returns a fabric domain's assignment and its version, which is 0 if absent.
func (t *Table) Domain(name string) (*object.Domain, object.Version) {
	o := t.entries[key{object.KindDomain, name}]
	d, _ := o.Value.(*object.Domain)
	return d, o.Version
}
