// Package lab runs daemons together with a stub platform, stub services and stub engines in
// one process, for the measurements. The processes command measures the cost of daemons as
// separate processes instead; see docs/measurements.md.
package lab

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/daemon"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/service"
)

// The names of the objects in a lab, and the key of its callers.
const (
	CallerKey = "a key of the measured customer" // the caller key in Customer's contract
	Customer  = "measured"                       // may use every model and service
	Service   = "ledger"                         // name of the plain service
	Model     = "writer"                         // name of the model that the engines serve
)

// startTimeout is the longest wait until all daemons are ready and all targets serve. The
// measurement fails when it expires.
const startTimeout = 30 * time.Second

// Lab is a running set of daemons and stubs.
type Lab struct {
	Platform *platform.Server
	Services []*service.Service
	Engines  []*engine.Engine
	// Callers and Operators are the addresses of the daemons' listeners, by index.
	Callers   []string
	Operators []string
	// ServiceAddresses and EngineAddresses are the stubs' addresses, for calls that bypass
	// the daemons.
	ServiceAddresses []string
	EngineAddresses  []string

	platform   *serve.Local
	dir        string // temporary folder for the peers' key and settings files
	daemons    []*daemon.Daemon
	runResults chan error         // receives one result of each daemon that has stopped
	cancel     context.CancelFunc // stops the daemons
	ctx        context.Context
}

// New starts a stub platform that delays each answer, and writes the customer's contract.
func New(delay time.Duration) (*Lab, error) {
	dir, err := os.MkdirTemp("", "rhubarbswitch-lab-")
	if err != nil {
		return nil, errors.Wrap(err, "create a folder")
	}
	l := &Lab{Platform: platform.New(platform.Options{}), dir: dir, runResults: make(chan error, 64)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.platform, err = serve.Open(l.Platform.Handler(), serve.Hooks{})
	if err != nil {
		return nil, err
	}
	l.Platform.SetFaults(platform.Faults{SlowMillis: delay.Milliseconds()})
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte("a key that the lab's daemons share"), 0o600); err != nil {
		return nil, errors.Wrap(err, "write the key")
	}
	sum := sha256.Sum256([]byte(CallerKey))
	return l, l.Put(object.KindContract, Customer, &object.Contract{
		KeyHashes: []string{hex.EncodeToString(sum[:])}, Models: []string{"*"}, Services: []string{"*"},
	})
}

// Put writes an object to the platform, replacing any stored version.
func (l *Lab) Put(kind object.Kind, name string, v object.Value) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	url := "http://" + l.platform.Address + platformapi.PathObjects + string(kind) + "/" + name
	var current platformapi.Envelope
	if err := GetJSON(url, &current); err != nil {
		current.Version = 0
	}
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("%s?ifVersion=%d", url, current.Version), strings.NewReader(string(text)))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "write object")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		body, _ := io.ReadAll(resp.Body)
		return errors.Errorf("write %s %s: %d %s", kind, name, resp.StatusCode, body)
	}
	return nil
}

// AddServices starts n targets of the plain service, each of which takes the time run for a
// call, and writes the service's object.
func (l *Lab) AddServices(n int, run time.Duration) error {
	value := &object.Service{
		Idempotent: []object.Route{{Method: "GET", Prefix: "/"}},
		ColdLimit:  4096, WarmLimit: 4096,
	}
	for i := range n {
		host := fmt.Sprintf("service-%d", i)
		s := service.New(service.Options{Host: host, RunTime: run, Seed: uint64(i + 1)})
		local, err := serve.Open(s.Handler(), s.Hooks())
		if err != nil {
			return err
		}
		l.Services = append(l.Services, s)
		l.ServiceAddresses = append(l.ServiceAddresses, local.Address)
		value.Targets = append(value.Targets, object.ServiceTarget{Host: host, Address: local.Address, DataCentre: "dc1"})
	}
	return l.Put(object.KindService, Service, value)
}

// AddEngines starts engines, perDomain hosts in each fabric domain, and writes the host list
// and the model whose groups they form. All domains are in the daemons' data centre, or each
// in a separate data centre if separate is set.
func (l *Lab) AddEngines(hosts, perDomain int, separate bool, m object.Model, o engine.Options) error {
	var list []platformapi.Host
	for i := range hosts {
		o.Host = fmt.Sprintf("host-%03d", i)
		e := engine.New(o)
		local, err := serve.Open(e.Handler(), e.Hooks())
		if err != nil {
			return err
		}
		l.Engines = append(l.Engines, e)
		l.EngineAddresses = append(l.EngineAddresses, local.Address)
		list = append(list, platformapi.Host{
			Name: o.Host, Address: local.Address, Domain: fmt.Sprintf("domain-%d", i/perDomain), DataCentre: dataCentreOf(i/perDomain, separate), Accelerators: 4,
		})
	}
	l.Platform.SetHosts(platform.HostsUpdate{Hosts: list})
	return l.Put(object.KindModel, Model, &m)
}

// dataCentreOf returns the data centre of a fabric domain.
func dataCentreOf(domain int, separate bool) string {
	if !separate {
		return "dc1"
	}
	return fmt.Sprintf("dc%d", domain+1)
}

// AddDaemons starts daemons and waits until all are ready and linked and every target that
// they know serves.
func (l *Lab) AddDaemons(n int, options ...daemon.Option) error {
	for i := range n {
		s, err := l.settings(i)
		if err != nil {
			return err
		}
		d, err := daemon.New(s, slog.New(slog.DiscardHandler), options...)
		if err != nil {
			return err
		}
		l.daemons = append(l.daemons, d)
		l.Callers = append(l.Callers, s.Callers.Listen)
		l.Operators = append(l.Operators, s.Operators.Listen)
		go func() { l.runResults <- d.Run(l.ctx) }()
	}
	return l.await(func() bool { return l.allServing() })
}

// settings returns the settings of daemon i, on free ports.
func (l *Lab) settings(i int) (*config.Settings, error) {
	s := config.Default()
	s.Cluster, s.Daemon, s.DataCentre = "lab", fmt.Sprintf("d%02d", i), "dc1"
	for _, at := range []*string{&s.Callers.Listen, &s.Operators.Listen, &s.Peers.Listen} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*at = address
	}
	s.Peers.Key = config.Secret{File: filepath.Join(l.dir, "key")}
	s.Platform.Address = "http://" + l.platform.Address
	return s, nil
}

// WriteSettings writes a settings file for a daemon that the caller runs as a separate
// process. It returns the file's path and the address of the operators' interface.
func (l *Lab) WriteSettings(i int) (file, operators string, err error) {
	s, err := l.settings(i)
	if err != nil {
		return "", "", err
	}
	s.Log.Level = "error"
	s.Pprof = true
	text, err := json.Marshal(s)
	if err != nil {
		return "", "", errors.Wrap(err, "encode settings")
	}
	file = filepath.Join(l.dir, s.Daemon+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return "", "", errors.Wrap(err, "write settings")
	}
	return file, s.Operators.Listen, nil
}

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a port")
	}
	return listener.Addr().String(), listener.Close()
}

// allServing reports whether every daemon is ready and lists every other daemon, and every
// service target and group that it knows serves.
func (l *Lab) allServing() bool {
	for _, d := range l.daemons {
		s, err := d.Status(l.ctx)
		if err != nil || !s.Ready || len(s.Daemons) != len(l.daemons) {
			return false
		}
		for _, t := range s.Services {
			if !t.Serving {
				return false
			}
		}
		for _, g := range s.Groups {
			if !g.Serving {
				return false
			}
		}
	}
	return true
}

// AwaitGroups waits until every daemon knows at least n groups and all of them serve.
func (l *Lab) AwaitGroups(n int) error {
	return l.await(func() bool {
		for _, d := range l.daemons {
			s, err := d.Status(l.ctx)
			if err != nil || len(s.Groups) < n {
				return false
			}
		}
		return l.allServing()
	})
}

// await polls a condition until it holds, for at most startTimeout.
func (l *Lab) await(done func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return errors.Errorf("daemons and targets were not ready within %s", startTimeout)
}

// Close stops the daemons and the platform and removes the temporary folder. The stub services
// and engines run until the process ends.
func (l *Lab) Close() {
	l.cancel()
	for range l.daemons {
		<-l.runResults
	}
	l.platform.Close()
	_ = os.RemoveAll(l.dir)
}

// GetJSON reads and decodes a JSON value. Any status but 200 is an error.
func GetJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
