package config

import (
	"os"
	"reflect"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/strictjson"
)

// Gateway contains all settings of a gateway: a daemon that runs in front of a deployment on
// the users' own platform. docs/operations/gateway.md lists them.
type Gateway struct {
	// Daemon is this daemon's name, unique in the deployment.
	Daemon string `json:"daemon"`
	// DataCentre is the data centre in which this daemon runs.
	DataCentre string `json:"dataCentre"`
	// Callers is the address, host:port, on which callers are served.
	Callers string `json:"callers"`
	// Readiness is the address, host:port, on which the callers' load balancer queries
	// whether this daemon takes requests.
	Readiness string `json:"readiness"`
	// Metrics is the address, host:port, on which metrics and profiles are served. If it is
	// empty, they are not served.
	Metrics string `json:"metrics"`
	// Links is the address, host:port, on which this daemon relays to other daemons what it
	// receives from the platform. If it is empty, it relays nothing.
	Links string `json:"links"`
	// Platform is the address, host:port, of the platform's store.
	Platform string `json:"platform"`
	// Cores is the number of processor cores that this process may use. The fewer it has below
	// one, the longer it waits before it takes over the ordering of groups from a daemon that
	// has failed. Within a data centre, daemons with more cores relay the platform's data to
	// those with fewer.
	Cores float64 `json:"cores" bounds:"0.01..1024"`
	// MemoryMiB is the memory in MiB that this process may use.
	MemoryMiB int `json:"memoryMiB" bounds:"32..1048576"`
	// MaxConnections is the most connections of callers that this process holds. 0 chooses what a
	// quarter of MemoryMiB and the process's descriptors allow.
	MaxConnections int `json:"maxConnections" bounds:"0..1048576"`
	// MinBodyRate is the least rate, in bytes a second, of a request's body while more than half
	// of the connections or of the memory for bodies is in use. 0 allows any.
	MinBodyRate int `json:"minBodyRate" bounds:"0..1048576"`
	// RetryShare and RetrySlack set the retry budget of all daemons together: within any
	// RetryWindow, the retries are at most RetryShare times the requests plus RetrySlack.
	RetryShare float64 `json:"retryShare" bounds:"0..10"`
	RetrySlack float64 `json:"retrySlack" bounds:"0..1000000"`
	// RetryWindow is the length of the time window over which retries are counted.
	RetryWindow Duration `json:"retryWindow" bounds:"1s..1h"`
	// EngineStall is how long an engine that lost a member of its group is stalled before it
	// fails.
	EngineStall Duration `json:"engineStall" bounds:"0s..10m"`
	// MaxPropagation is the longest time after which this daemon must know of a change that
	// operators make, or of a host that leaves.
	MaxPropagation Duration `json:"changeWithin" bounds:"500ms..1m"`
	// ShutdownTimeout is the longest time that a graceful stop may take.
	ShutdownTimeout Duration `json:"grace" bounds:"1s..1h"`
	// Log configures the daemon's log, which is written to standard output.
	Log Log `json:"log"`
}

// DefaultGateway returns the settings of a gateway in which every optional field has its
// default.
func DefaultGateway() *Gateway {
	return &Gateway{
		Cores: 1, MemoryMiB: 256, MinBodyRate: 1 << 10, RetryShare: 0.1, RetrySlack: 50, RetryWindow: Duration(10 * time.Second),
		EngineStall: Duration(5 * time.Second), MaxPropagation: Duration(2 * time.Second), ShutdownTimeout: Duration(8 * time.Second), Log: Default().Log,
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

// ParseGateway parses and checks the settings of a gateway. Fields that are not given have
// their defaults.
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

// Check returns a *FieldError for the first rule that the settings break, or nil.
func (g *Gateway) Check() error {
	if g.Daemon == "" {
		return fieldErrorf("daemon", "give this daemon a name")
	}
	if g.DataCentre == "" {
		return fieldErrorf("dataCentre", "name the data centre of this daemon")
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
	return checkStructBounds(reflect.ValueOf(g).Elem(), "")
}
