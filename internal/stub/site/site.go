// Package site is a stub of the users' platform for tests. A site has a store, servers
// with engines that form groups, and servers of plain services. It implements the published
// protocol as far as the tests need it. It records all runs of requests, and violations of
// what the daemons promise to servers, which tests check.
package site

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The names in the configuration of a site: one team with one key, one host name, one model, a
// plain service (Ledger) and a service with engines (LLM).
const (
	Key    = "key-of-the-tests"
	Host   = "callers.example"
	Team   = "team-a"
	Ledger = "ledger"
	LLM    = "llm"
	Model  = "model-a"
	// GroupSize is the number of servers in a group of the model.
	GroupSize = 3
	// Timeout is the timeout of each route. Grace is the time that a stopping daemon has to
	// finish its requests.
	Timeout = 8 * time.Second
	Grace   = 8 * time.Second
	// MaxTargets is the maximum number of servers to which daemons send one request.
	MaxTargets = 2
)

const (
	// headCheckInterval is the interval at which the site checks the group of each head for
	// lost members.
	headCheckInterval = 20 * time.Millisecond
)

// Site is one deployment of the platform: a store and its servers.
type Site struct {
	Store  *Store
	Timing Timing
	// Publish returns the address that a server registers, such as the address of a relay in
	// front of it, given the server's own address. If Publish is nil, servers register their
	// own.
	Publish func(server, address string) (string, error)
	// Unpublish is called when a server has crashed under a request. Its published address should
	// refuse connections from then on. It may be nil.
	Unpublish func(server string)

	done chan struct{} // closed by Close

	mu      sync.Mutex
	servers map[string]*Server    // by ID
	heads   map[string]Membership // by server: membership of each running server with rank 0
	// readyMembers are the servers that have been ready, by formation.
	readyMembers map[Membership]map[string]bool
	// formationMembers are the members named in orders to join, by formation.
	formationMembers map[Membership]string
	arrivals         []Arrival
	crashers         []*Crasher
	crashes          []Crash
	lastBorn         int64 // the last start number; each start of a server gets a higher one
	violations       []string
	doubleJoins      []string // see checkJoinElsewhere
	onOrder          []func() // see OnOrder
	runs             []Run
}

// Run is one run of a request at a server.
type Run struct {
	Request, Server, Service, Zone string
	Method, Path, Body, Team       string
	Parts                          string // of its prompt
	StartedAt                      time.Time
	// EndedAt is zero while the run lasts.
	EndedAt time.Time
}

// Arrival is the arrival of a request at a server, whether the server runs it or not.
type Arrival struct {
	Request, Server, Service string
	Born                     int64 // of the server
	At                       time.Time
	// Leaving is whether the answer says that the server leaves. Quiet is for how long it asks
	// for no further requests; zero if it does not.
	Leaving bool
	Quiet   time.Duration
	// Limit is the limit that the answer names, in requests per second; zero if it names none.
	Limit float64
	// Report is set for a report request, which belongs to no caller.
	Report bool
}

// Limit is a time in which a server names a limit.
type Limit struct {
	Server    string
	Born      int64 // of the server
	PerSecond float64
	From, To  time.Time // To is zero while it lasts
}

// New starts a site with an empty store and no servers.
func New(timing Timing) (*Site, error) {
	store, err := OpenStore()
	if err != nil {
		return nil, err
	}
	s := &Site{
		Store: store, Timing: timing, done: make(chan struct{}), lastBorn: time.Now().UnixMilli(),
		servers: make(map[string]*Server), heads: make(map[string]Membership),
		readyMembers: make(map[Membership]map[string]bool), formationMembers: make(map[Membership]string),
	}
	go s.watchHeads()
	return s, nil
}

// Close stops all servers and the store.
func (s *Site) Close() {
	close(s.done)
	s.mu.Lock()
	servers := slices.Collect(maps.Values(s.servers))
	s.mu.Unlock()
	for _, v := range servers {
		v.mu.Lock()
		v.local.Close()
		v.mu.Unlock()
	}
	s.Store.Close()
}

// Configure writes a version of the configuration. It has a route for each kind of request,
// and extra routes with the path prefixes "/extra-0/", "/extra-1/" and so on.
func (s *Site) Configure(version, extra int) {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "pathPrefix": prefix, "type": kind, "timeoutMs": Timeout.Milliseconds(), "goalMs": 300, "priority": 1,
			"service": service, "maxAttempts": MaxTargets, "resumable": kind == "stream",
		}
	}
	routes := []map[string]any{
		route("chat", "/chat/", "stream", LLM),
		route("write", "/write/", "non_idempotent", Ledger),
		route("read", "/read/", "idempotent", Ledger),
	}
	for i := range extra {
		routes = append(routes, route(fmt.Sprintf("extra-%d", i), fmt.Sprintf("/extra-%d/", i), "idempotent", Ledger))
	}
	s.Store.Put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": Ledger, "healthPath": "/healthz", "maxConns": 100},
			{"name": LLM, "healthPath": "/healthz", "maxConns": 100, "engine": map[string]any{
				"slots": 8, "stride": 1, "step_ms": 20, "per_seq_ms": 0.1, "read_per_s": 50000, "report_lag_ms": 0, "formMs": 20,
				"loadsPerS": 50, "loads_at_once": 10, "usual": map[string]any{"prompt": 100, "answer": 12},
				"models": []map[string]any{{"name": Model, "size": GroupSize, "share": 1, "pace": 1, "loadS": 0.4, "warmS": 0.1}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": Team, "apiKeys": []string{Key}, "priority": 1}},
	})
}

// Settings returns the settings of a gateway daemon of the site. The daemon reaches the store
// at the given address, which may be a relay's.
func (s *Site) Settings(daemon, dataCentre, callers, readiness, store string) map[string]any {
	return map[string]any{
		"daemon": daemon, "dataCentre": dataCentre, "callers": callers, "readiness": readiness,
		"platform": store, "engineStall": s.Timing.StallTimeout.String(), "grace": Grace.String(), "cores": 1,
	}
}

// Add starts a server and registers it. A server without a domain belongs to a plain service.
func (s *Site) Add(id, service, zone, domain string) (*Server, error) {
	v := &Server{ID: id, Service: service, Zone: zone, Domain: domain, site: s, staged: []string{}}
	s.mu.Lock()
	s.servers[id] = v
	s.mu.Unlock()
	return v, v.Start()
}

// Servers returns the servers of a service, in no particular order.
func (s *Site) Servers(service string) []*Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*Server
	for _, v := range s.servers {
		if v.Service == service {
			found = append(found, v)
		}
	}
	return found
}

// Server returns a server by ID, or nil.
func (s *Site) Server(id string) *Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[id]
}

// isComplete reports whether every listed server is running and a member of the formation.
func (s *Site) isComplete(members []string, m *Membership) bool {
	for _, id := range members {
		v := s.Server(id)
		if v == nil {
			return false
		}
		v.mu.Lock()
		in := v.running && v.member != nil && v.member.Name == m.Name && v.member.Epoch == m.Epoch
		v.mu.Unlock()
		if !in {
			return false
		}
	}
	return true
}

// formation returns the identity of a formation: the group's name and epoch.
func (m *Membership) formation() Membership { return Membership{Name: m.Name, Epoch: m.Epoch} }

// recordReady records that a server is ready in its formation. The caller holds the server's
// mu.
func (s *Site) recordReady(v *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := v.member.formation()
	if s.readyMembers[f] == nil {
		s.readyMembers[f] = make(map[string]bool)
	}
	s.readyMembers[f][v.ID] = true
}

// checkOpened checks that a group that begins to serve has the size of its model, and that every
// member of it has been ready. The caller holds the head's mu.
func (s *Site) checkOpened(head *Server) {
	s.mu.Lock()
	ready := s.readyMembers[head.member.formation()]
	s.mu.Unlock()
	if n := len(head.groupMembers); n != GroupSize {
		s.addViolation("%s opens %s with %d members", head.ID, head.member.Name, n)
	}
	for _, id := range head.groupMembers {
		if !ready[id] {
			s.addViolation("%s opens %s before %s was ready", head.ID, head.member.Name, id)
		}
	}
}

func (s *Site) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// updateHead records the membership of a server if it is the head of a group. The caller holds
// the server's mu.
func (s *Site) updateHead(v *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.running && v.member != nil && v.member.Rank == 0 {
		s.heads[v.ID] = *v.member
	} else {
		delete(s.heads, v.ID)
	}
}

// checkJoinElsewhere checks that a member that joins another group does not leave a group whose
// head may be serving: one that is open or closing, or lacks a member and is not broken yet.
func (s *Site) checkJoinElsewhere(member *Server, formerMembers []string, m *Membership, newGroup string) {
	s.mu.Lock()
	head, exists := s.heads[formerMembers[0]]
	s.mu.Unlock()
	if exists && head.Name == m.Name && head.Epoch == m.Epoch && head.State != stateReady && head.State != stateJoining && head.State != stateBroken {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.doubleJoins = append(s.doubleJoins, fmt.Sprintf("%s joins %s while %s of its group %s is %s", member.ID, newGroup, formerMembers[0], m.Name, head.State))
	}
}

// watchHeads checks the members of each head's group, and breaks a head that has lacked a
// member for longer than the stall timeout.
func (s *Site) watchHeads() {
	ticks := time.NewTicker(headCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticks.C:
		}
		s.mu.Lock()
		ids := slices.Collect(maps.Keys(s.heads))
		s.mu.Unlock()
		for _, id := range ids {
			s.Server(id).checkMembers()
		}
	}
}

// beginRun records a run and returns its number. A caller's key in the request is a violation.
func (s *Site) beginRun(v *Server, r *http.Request, body string) int {
	if key := r.Header.Get("X-Credential"); key != "" {
		s.addViolation("the key %s reached %s", key, v.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		Request: r.Header.Get("X-Request-Id"), Server: v.ID, Service: v.Service, Zone: v.Zone,
		Method: r.Method, Path: r.URL.RequestURI(), Body: body, Team: r.Header.Get("X-Tenant"), Parts: r.Header.Get("X-Prefix-Hash"), StartedAt: time.Now(),
	})
	return len(s.runs) - 1
}

func (s *Site) endRun(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].EndedAt = time.Now()
}

func (s *Site) recordArrival(a Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

// Arrivals returns all arrivals of requests so far, in order.
func (s *Site) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// Limits returns all limits that servers have named so far.
func (s *Site) Limits() []Limit {
	s.mu.Lock()
	servers := slices.Collect(maps.Values(s.servers))
	s.mu.Unlock()
	var limits []Limit
	for _, v := range servers {
		limits = append(limits, v.Limits()...)
	}
	return limits
}

// checkEpoch checks that a formation never has two lists of members.
func (s *Site) checkEpoch(o order) {
	f, members := Membership{Name: o.Group, Epoch: o.Epoch}, fmt.Sprint(o.Members)
	s.mu.Lock()
	before, known := s.formationMembers[f]
	s.formationMembers[f] = members
	s.mu.Unlock()
	if known && before != members {
		s.addViolation("epoch %d of %s has the members %s and %s", o.Epoch, o.Group, before, members)
	}
}

// Runs returns all runs so far, in the order of their start.
func (s *Site) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// DoubleJoins returns the joins of members whose former heads could serve.
func (s *Site) DoubleJoins() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.doubleJoins)
}

// OnOrder adds a function that is called once, when an order has reached a server and before it is carried
// out. Each order calls one.
func (s *Site) OnOrder(call func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onOrder = append(s.onOrder, call)
}

func (s *Site) orderArrived() {
	s.mu.Lock()
	var call func()
	if len(s.onOrder) > 0 {
		call, s.onOrder = s.onOrder[0], s.onOrder[1:]
	}
	s.mu.Unlock()
	if call != nil {
		call()
	}
}

// Violations returns the violations that the site has found, without DoubleJoins.
func (s *Site) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}
