// Package capacity computes whether the requests that run now would still fit if a data
// centre or host were out of service. rhubarbctl checks this before it takes one out.
package capacity

import (
	"fmt"
	"sort"

	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Row is the result for one model or service.
type Row struct {
	Kind string `json:"kind"` // "model" or "service"
	Name string `json:"name"`
	// Serving is the number of groups or targets that serve now.
	Serving int `json:"serving"`
	// Remaining is the number of those that would still serve.
	Remaining int `json:"remaining"`
	// Limit is the number of requests that the remaining ones can run at once.
	Limit int `json:"limit"`
	// InFlight is the number of requests that run now, on all groups or targets.
	InFlight int `json:"inFlight"`
	// Fits is true if nothing is lost, or if something remains and InFlight is at most Limit.
	Fits bool `json:"fits"`
}

// Verdict is the result for all models and services.
type Verdict struct {
	Rows []Row `json:"rows"` // ordered by kind and name
	Fits bool  `json:"fits"` // every row fits
}

// servingUnit is a group of hosts or one target of a service. A group serves only with all of
// its hosts.
type servingUnit struct {
	kind, name, dataCentre string // name is that of the model or service
	hosts                  []string
	serving                bool
	limit, inFlight        int
}

// WithoutDataCentre returns the verdict for the system without a data centre.
func WithoutDataCentre(s operatorapi.Status, name string) Verdict {
	return evaluate(s, func(u servingUnit) bool { return u.dataCentre == name })
}

// WithoutHost returns the verdict for the system without a host, and thus without its group.
func WithoutHost(s operatorapi.Status, name string) Verdict {
	return evaluate(s, func(u servingUnit) bool {
		for _, host := range u.hosts {
			if host == name {
				return true
			}
		}
		return false
	})
}

func evaluate(s operatorapi.Status, isLost func(servingUnit) bool) Verdict {
	rows := make(map[string]*Row)
	for _, u := range servingUnits(s) {
		key := fmt.Sprintf("%s/%s", u.kind, u.name)
		row := rows[key]
		if row == nil {
			row = &Row{Kind: u.kind, Name: u.name}
			rows[key] = row
		}
		row.InFlight += u.inFlight
		if !u.serving {
			continue
		}
		row.Serving++
		if !isLost(u) {
			row.Remaining++
			row.Limit += u.limit
		}
	}
	return newVerdict(rows)
}

func newVerdict(rows map[string]*Row) Verdict {
	v := Verdict{Rows: []Row{}, Fits: true}
	for _, row := range rows {
		row.Fits = row.Remaining == row.Serving || (row.Remaining > 0 && row.InFlight <= row.Limit)
		v.Fits = v.Fits && row.Fits
		v.Rows = append(v.Rows, *row)
	}
	sort.Slice(v.Rows, func(i, j int) bool {
		a, b := v.Rows[i], v.Rows[j]
		return a.Kind < b.Kind || (a.Kind == b.Kind && a.Name < b.Name)
	})
	return v
}

func servingUnits(s operatorapi.Status) []servingUnit {
	var all []servingUnit
	for _, g := range s.Groups {
		all = append(all, servingUnit{
			kind: "model", name: g.Model, dataCentre: g.DataCentre, hosts: g.Members,
			serving: g.Serving, limit: g.Limit, inFlight: g.InFlight,
		})
	}
	for _, t := range s.Services {
		all = append(all, servingUnit{
			kind: "service", name: t.Service, dataCentre: t.DataCentre, hosts: []string{t.Host},
			serving: t.Serving, limit: t.Limit, inFlight: t.InFlight,
		})
	}
	return all
}
