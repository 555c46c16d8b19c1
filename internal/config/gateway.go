package config

import (
	"os"
	"reflect"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/strictjson"
)

// Gateway are all settings of a daemon that fronts a deployment of somebody else's
// platform. docs/operations/gateway.md lists them.
type Gateway struct {
	// Daemon is this daemon's name, unique in the deployment.
	Daemon string `json:"daemon"`
	// DataCentre is the data centre in which this daemon runs.
	DataCentre string `json:"dataCentre"`
	// Callers is the address, host:port, on which callers are served, Readiness the one on
	// which their balancer asks whether to send any.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	// Metrics is the address, host:port, of metrics and profiles; empty serves none.
	Metrics string `json:"metrics"`
	// Links is the address, host:port, on which other daemons ask for what this one hears of
	// the platform; empty answers none.
	Links string `json:"links"`
	// Platform is the address, host:port, of the platform's store.
	Platform string `json:"platform"`
	// Cores is the part of the processor that this process may use. Larger daemons take on
	// the ordering of groups before smaller ones.
	Cores float64 `json:"cores" bounds:"0.01..1024"`
	// MemoryMiB is the memory that this process may use.
	MemoryMiB int `json:"memoryMiB" bounds:"32..1048576"`
	// RetryShare and RetrySlack bound, over all daemons, the requests that are sent again
	// within any RetryWindow: a share of the requests, and a number beside it.
	RetryShare float64 `json:"retryShare" bounds:"0..10"`
	RetrySlack float64 `json:"retrySlack" bounds:"0..1000000"`
	// RetryWindow is the time for which they hold.
	RetryWindow Duration `json:"retryWindow" bounds:"1s..1h"`
	// EngineStall is how long an engine that lost a member of its group stands still.
	EngineStall Duration `json:"engineStall" bounds:"0s..10m"`
	// ChangeWithin is the time in which a change that operators make, or a host that
	// leaves, must be known here.
	ChangeWithin Duration `json:"changeWithin" bounds:"500ms..1m"`
	// Grace is how long a graceful stop may take.
	Grace Duration `json:"grace" bounds:"1s..1h"`
	// Log is the daemon's log, on standard output.
	Log Log `json:"log"`
}

// DefaultGateway returns the settings used where a file gives none.
func DefaultGateway() *Gateway {
	return &Gateway{
		Cores: 1, MemoryMiB: 256, RetryShare: 0.1, RetrySlack: 50, RetryWindow: Duration(10 * time.Second),
		EngineStall: Duration(5 * time.Second), ChangeWithin: Duration(2 * time.Second), Grace: Duration(8 * time.Second), Log: Default().Log,
	}
}

// LoadGateway reads and checks a settings file.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings: name a file that this user can read")
	}
	g, err := ParseGateway(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return g, nil
}

// ParseGateway reads and checks settings over the defaults.
func ParseGateway(data []byte) (*Gateway, error) {
	if len(data) > maxFileBytes {
		return nil, errors.Errorf("settings are larger than %d bytes: shorten them", maxFileBytes)
	}
	document, err := strictjson.Parse(data)
	if err != nil {
		return nil, err
	}
	g := DefaultGateway()
	if err := document.Decode(g); err != nil {
		return nil, err
	}
	err = g.Check()
	var broken *FieldError
	if errors.As(err, &broken) {
		return nil, document.ErrorAt(broken.Field, broken.Remedy)
	}
	return g, err
}

// Check returns the first rule that the settings break.
func (g *Gateway) Check() error {
	if g.Daemon == "" {
		return broken("daemon", "give this daemon a name")
	}
	if g.DataCentre == "" {
		return broken("dataCentre", "name the data centre of this daemon")
	}
	for _, a := range []struct{ field, address string }{
		{"callers", g.Callers}, {"readiness", g.Readiness}, {"platform", g.Platform},
	} {
		if err := checkAddress(a.field, a.address); err != nil {
			return err
		}
	}
	for _, a := range []struct{ field, address string }{{"metrics", g.Metrics}, {"links", g.Links}} {
		if a.address == "" {
			continue
		}
		if err := checkAddress(a.field, a.address); err != nil {
			return err
		}
	}
	if _, err := g.Log.SlogLevel(); err != nil {
		return err
	}
	return boundsOf(reflect.ValueOf(g).Elem(), "")
}
