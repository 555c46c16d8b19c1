package core

import (
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Directory is what the callers' interface needs before a request reaches the
// reducer. It is a copy: safe to share.
type Directory struct {
	// Customers are the customers by the SHA-256 of their keys, in hex.
	Customers map[string]string
	// Models and Services are the configured names, sorted.
	Models   []string
	Services []string
	// Allowed are the contracts by customer.
	Allowed map[string]*object.Contract
}

// Directory copies the part of the configuration in force that callers meet first.
func (s *State) Directory() *Directory {
	d := &Directory{Customers: make(map[string]string), Allowed: make(map[string]*object.Contract)}
	for _, customer := range s.config.Names(object.KindContract) {
		c, ok := s.config.Contract(customer)
		if !ok {
			continue
		}
		d.Allowed[customer] = c
		for _, h := range c.KeyHashes {
			d.Customers[h] = customer
		}
	}
	d.Models = append(d.Models, s.config.Names(object.KindModel)...)
	d.Services = append(d.Services, s.config.Names(object.KindService)...)
	return d
}
