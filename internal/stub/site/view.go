package site

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

// View is the store as one daemon sees it: servers and other daemons have addresses of their own in it,
// so that the daemon's paths to them can be cut.
type View struct {
	*serve.Local
	store *Store
	// own is the address of the daemon itself, which stays.
	own string

	mu      sync.Mutex
	relays  map[string]*cutter.Cutter // by the address that they stand for
	servers map[string]bool           // addresses of relays that are servers'
	gone    map[string]bool           // addresses at which nothing listens any more
	cut     *cutter.Cut               // in force on the paths to servers; nil if none is
	how     cutter.Listening
}

// NewView opens a view for a daemon that others reach at an address.
func (s *Site) NewView(own string) (*View, error) {
	v := &View{store: s.Store, own: own, relays: make(map[string]*cutter.Cutter), servers: make(map[string]bool), gone: make(map[string]bool)}
	local, err := serve.Open(v, serve.Hooks{})
	v.Local = local
	return v, err
}

var addressField = regexp.MustCompile(`"(address)":"([^"]+)"`)

// ServeHTTP answers as the store, with the addresses of this view.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	v.store.ServeHTTP(answer, r)
	isServers := bytes.Contains([]byte(r.URL.Path), []byte("/servers"))
	body := addressField.ReplaceAllFunc(answer.Body.Bytes(), func(field []byte) []byte {
		address := string(addressField.FindSubmatch(field)[2])
		return []byte(`"address":"` + v.relayTo(address, isServers) + `"`)
	})
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body) // an error means that the daemon is gone
}

// relayTo returns the address of the relay for an address, which it opens if there is none.
func (v *View) relayTo(address string, isServer bool) string {
	if address == v.own {
		return address
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	relay := v.relays[address]
	if relay == nil {
		var err error
		if relay, err = cutter.Open("127.0.0.1:0", address); err != nil {
			return address
		}
		v.relays[address], v.servers[address] = relay, isServer
		if v.gone[address] {
			_ = relay.Refuse()
		} else if isServer && v.cut != nil {
			relay.Apply(*v.cut)
			_ = relay.Listen(v.how)
		}
	}
	return relay.Address()
}

// Remove lets the relay for an address refuse connections, as nothing listens there any more.
func (v *View) Remove(address string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gone[address] = true
	if relay := v.relays[address]; relay != nil {
		return relay.Refuse()
	}
	return nil
}

// CutServers cuts the paths to all servers, including those that start later.
func (v *View) CutServers(cut cutter.Cut, how cutter.Listening) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut, v.how = &cut, how
	return v.apply(cut, how)
}

// RestoreServers ends that. Connections that were cut are reset if their streams may have gaps.
func (v *View) RestoreServers(cut cutter.Cut) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = nil
	return v.apply(cut, cutter.Accepting)
}

// apply changes all paths to servers at the same time.
func (v *View) apply(cut cutter.Cut, how cutter.Listening) error {
	var g errgroup.Group
	for address, relay := range v.relays {
		if !v.servers[address] || v.gone[address] {
			continue
		}
		relay.Apply(cut)
		g.Go(func() error { return relay.Listen(how) })
	}
	return g.Wait()
}

// Close closes the view and its relays.
func (v *View) Close() {
	v.Local.Close()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, relay := range v.relays {
		relay.Close()
	}
}
