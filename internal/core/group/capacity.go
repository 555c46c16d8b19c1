package group

import (
	"fmt"
	"strings"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Capacity is what serves one model or plain service, now and without a data centre.
type Capacity struct {
	Model   string
	Service string
	// Now and After count the targets that serve; SlotsNow and SlotsAfter the
	// requests that they bear once warm.
	Now        int
	After      int
	SlotsNow   int
	SlotsAfter int
}

// Outage is what taking a data centre out would leave.
type Outage struct {
	DataCentre string
	// Others are the data centres that are out already, sorted.
	Others []string
	// Capacities are the models' and then the services', by name.
	Capacities []Capacity
}

// OutageError says why a data centre should not be taken out.
type OutageError struct {
	DataCentre string
	Others     []string // out already
	Unserved   []string // models and services that nothing would serve
}

// Error names the reasons and the remedy.
func (e *OutageError) Error() string {
	var reasons []string
	if len(e.Others) > 0 {
		reasons = append(reasons, fmt.Sprintf("%s is out already", strings.Join(e.Others, ", ")))
	}
	if len(e.Unserved) > 0 {
		reasons = append(reasons, fmt.Sprintf("nothing else serves %s", strings.Join(e.Unserved, ", ")))
	}
	return fmt.Sprintf("data centre %s stays in: %s; bring the other back first, or force it",
		e.DataCentre, strings.Join(reasons, " and "))
}

// Targets is the part of the view of targets that the check reads.
type Targets interface {
	Target(name string) (*fleet.Target, bool)
	Routable(now step.Time, name string) bool
}

// CheckOutage works out what remains if a data centre is taken out.
func CheckOutage(now step.Time, config fleet.Config, targets Targets, centre string) Outage {
	o := Outage{DataCentre: centre}
	for _, name := range config.Names(object.KindDataCentre) {
		if dc, ok := config.DataCentre(name); ok && dc.Out && name != centre {
			o.Others = append(o.Others, name)
		}
	}
	for _, name := range config.Names(object.KindModel) {
		o.Capacities = append(o.Capacities, modelCapacity(now, config, targets, name, centre))
	}
	for _, name := range config.Names(object.KindService) {
		o.Capacities = append(o.Capacities, serviceCapacity(now, config, targets, name, centre))
	}
	return o
}

// Refusal returns why the data centre should stay in, or nil.
func (o *Outage) Refusal() error {
	e := &OutageError{DataCentre: o.DataCentre, Others: o.Others}
	for _, c := range o.Capacities {
		if c.Now > 0 && c.After == 0 {
			e.Unserved = append(e.Unserved, c.Model+c.Service)
		}
	}
	if len(e.Others)+len(e.Unserved) == 0 {
		return nil
	}
	return e
}

func modelCapacity(now step.Time, config fleet.Config, targets Targets, model, centre string) Capacity {
	c := Capacity{Model: model}
	m, ok := config.Model(model)
	if !ok {
		return c
	}
	for _, domain := range config.Names(object.KindDomain) {
		d, _ := config.Domain(domain)
		if d == nil {
			continue
		}
		for _, name := range sorted(d.Groups) {
			if d.Groups[name].Model == model {
				c.count(now, targets, name, centre, m.WarmLimit)
			}
		}
	}
	return c
}

func serviceCapacity(now step.Time, config fleet.Config, targets Targets, service, centre string) Capacity {
	c := Capacity{Service: service}
	s, ok := config.Service(service)
	if !ok {
		return c
	}
	for _, t := range s.Targets {
		c.count(now, targets, fleet.ServiceTarget(service, t.Host), centre, s.WarmLimit)
	}
	return c
}

func (c *Capacity) count(now step.Time, targets Targets, name, centre string, slots int) {
	t, ok := targets.Target(name)
	if !ok || !targets.Routable(now, name) {
		return
	}
	c.Now++
	c.SlotsNow += slots
	if t.DataCentre != centre {
		c.After++
		c.SlotsAfter += slots
	}
}
