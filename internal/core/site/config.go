// Package site holds what a gateway knows about the deployment that it fronts: the
// configuration in force, the registered hosts and the reports of engines. It is plain data;
// an adapter decodes it from the platform's own format.
package site

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Kind is how often a request of a route may run.
type Kind uint8

// The kinds of requests.
const (
	// Once is a request that must not run a second time.
	Once Kind = iota + 1
	// Repeatable is a request that may run again.
	Repeatable
	// Stream is a request whose answer is a sequence of numbered events. It may run again,
	// from the event after the last one delivered, only if its route is resumable.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Once:
		return "once"
	case Repeatable:
		return "repeatable"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Route maps the requests of a host name and path prefix to services.
type Route struct {
	Name   string
	Host   string // lower case, without a port
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable streams may continue at another target after the last event delivered.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Goal is the time within which the answer, or a stream's first event, is worth most to
	// the caller.
	Goal time.Duration
	// MaxEventGap is the longest time between two events of a stream that is on time; zero if
	// none is declared.
	MaxEventGap time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Shares divide the route's requests among services.
	Shares []Share
	// MaxTargets is the number of targets at which one request may run.
	MaxTargets int
	// Public routes need no key.
	Public bool
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Share is the part of a route's requests that goes to a service, by weight.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// ColdDuration is how long a target stays cold after its start.
	ColdDuration time.Duration
	// ColdRequestsPerSecond is the number of requests per second that a cold target can take.
	ColdRequestsPerSecond float64
	// Engine describes the service's model engines; nil for a plain service.
	Engine *Engine
}

// Team is a set of callers with their own keys.
type Team struct {
	Name string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int           // longest request header
	MaxBodyBytes   int64         // longest request body
	HeaderTimeout  time.Duration // longest time to send the header
	IdleTimeout    time.Duration // longest time that a connection may be idle
}

// Config is one version of the configuration.
type Config struct {
	// Version is the operators' number of the configuration; it rises with each change.
	Version  int64
	Routes   []Route
	Services map[string]*Service // by name
	// Teams are the teams, by key.
	Teams map[string]*Team
	// KeysRequired is whether requests need a key, except on public routes.
	KeysRequired bool
	Limits       Limits

	byHost map[string][]*Route // by host name; longest prefix first
}

// Prepare checks the configuration and indexes its routes. Call it once, before use.
func (c *Config) Prepare() error {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return errors.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
		}
		if len(r.Shares) == 0 {
			return errors.Errorf("route %q leads to no service: name one", r.Name)
		}
		for _, s := range r.Shares {
			if c.Services[s.Service] == nil {
				return errors.Errorf("route %q leads to service %q, which is not configured", r.Name, s.Service)
			}
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return nil
}

// Match returns the route of the host name that has the longest matching prefix of the path,
// or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HostName returns a Host header in lower case and without its port.
func HostName(host string) string {
	if port := strings.LastIndexByte(host, ':'); port > strings.LastIndexByte(host, ']') {
		host = host[:port]
	}
	return strings.ToLower(host)
}

// LeadsTo reports whether a service gets requests of the route.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && (s.Weight > 0 || len(r.Shares) == 1) })
}

// PickService returns the service for a request by the route's weights. The number spread must
// be evenly distributed over requests.
func (r *Route) PickService(spread uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(spread % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[0].Service
}
