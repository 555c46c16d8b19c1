// Package capacity works out whether the work of today still fits once a data
// centre or host is out of service.
package capacity

import (
	"fmt"
	"sort"

	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Row is one model or service before and after.
type Row struct {
	Kind string `json:"kind"` // "model" or "service"
	Name string `json:"name"`
	// Serving counts the groups or targets that serve now, Remaining those left.
	Serving   int `json:"serving"`
	Remaining int `json:"remaining"`
	// Limit is the number of requests that those left bear; InFlight what runs now
	// over all.
	Limit    int  `json:"limit"`
	InFlight int  `json:"inFlight"`
	Fits     bool `json:"fits"`
}

// Verdict is the result for every model and service.
type Verdict struct {
	Rows []Row `json:"rows"`
	Fits bool  `json:"fits"`
}

// unit is a group or a service's target: what serves as one.
type unit struct {
	kind, name, dataCentre string
	hosts                  []string
	serving                bool
	limit, inFlight        int
}

// WithoutDataCentre says what remains once a data centre is out.
func WithoutDataCentre(s operatorapi.Status, name string) Verdict {
	return judge(s, func(u unit) bool { return u.dataCentre == name })
}

// WithoutHost says what remains once a host, and with it its group, is out.
func WithoutHost(s operatorapi.Status, name string) Verdict {
	return judge(s, func(u unit) bool {
		for _, host := range u.hosts {
			if host == name {
				return true
			}
		}
		return false
	})
}

func judge(s operatorapi.Status, leaves func(unit) bool) Verdict {
	rows := make(map[string]*Row)
	for _, u := range units(s) {
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
		if !leaves(u) {
			row.Remaining++
			row.Limit += u.limit
		}
	}
	return sum(rows)
}

func sum(rows map[string]*Row) Verdict {
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

func units(s operatorapi.Status) []unit {
	var all []unit
	for _, g := range s.Groups {
		all = append(all, unit{
			kind: "model", name: g.Model, dataCentre: g.DataCentre, hosts: g.Members,
			serving: g.Serving, limit: g.Limit, inFlight: g.InFlight,
		})
	}
	for _, t := range s.Services {
		all = append(all, unit{
			kind: "service", name: t.Service, dataCentre: t.DataCentre, hosts: []string{t.Host},
			serving: t.Serving, limit: t.Limit, inFlight: t.InFlight,
		})
	}
	return all
}
