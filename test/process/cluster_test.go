package process

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/service"
)

const (
	callerKey   = "a key of the tests' customer"
	customer    = "tests"
	serviceName = "orders"
	modelName   = "writer"
)

// stub is a stand-in that runs as a process.
type stub struct {
	*process
	address string
}

func startStub(t *testing.T, name string, args ...string) *stub {
	t.Helper()
	p := spawn(t, name, "rhubarbstub", args...)
	return &stub{p, p.line()}
}

// cluster is a platform with daemons before it.
type cluster struct {
	t        *testing.T
	platform *stub
	daemons  []*daemon
	services []*stub
	// serviceCentres are the services' data centres.
	serviceCentres []string
	engines        []*engineHost
	key            string // path of the file with the peers' key
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	key := filepath.Join(t.TempDir(), "peers.key")
	require.NoError(t, os.WriteFile(key, []byte("a key that all daemons share"), 0o600))
	return &cluster{t: t, platform: startStub(t, "platform", "platform"), key: key}
}

// put writes an object to the platform, whatever stands there.
func (c *cluster) put(kind object.Kind, name string, value any) uint64 {
	c.t.Helper()
	path := platformapi.PathObjects + string(kind) + "/" + name
	standing, _ := tryGet[platformapi.Envelope](c.platform.address, path) // absent is version 0
	text := send(c.t, "PUT", c.platform.address, fmt.Sprintf("%s?ifVersion=%d", path, standing.Version), value)
	var written platformapi.Envelope
	require.NoError(c.t, json.Unmarshal(text, &written))
	return written.Version
}

func (c *cluster) faults(f platform.Faults) {
	c.t.Helper()
	send(c.t, "POST", c.platform.address, platform.PathFaults, f)
}

func (c *cluster) putContract() {
	c.t.Helper()
	sum := sha256.Sum256([]byte(callerKey))
	c.put(object.KindContract, customer, &object.Contract{
		KeyHashes: []string{hex.EncodeToString(sum[:])}, Models: []string{"*"}, Services: []string{"*"},
	})
}

// addServices starts plain services, one after the other in each data centre, and
// writes the service's object.
func (c *cluster) addServices(n int, dataCentres []string, args ...string) {
	c.t.Helper()
	var targets []object.ServiceTarget
	for i := range n {
		host := fmt.Sprintf("s%d", i)
		s := startStub(c.t, host, append([]string{"service", "--host", host, "--seed", fmt.Sprint(i + 1)}, args...)...)
		c.services = append(c.services, s)
		c.serviceCentres = append(c.serviceCentres, dataCentres[i%len(dataCentres)])
		targets = append(targets, object.ServiceTarget{
			Host: host, Address: s.address, DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	c.put(object.KindService, serviceName, &object.Service{
		Targets: targets, Idempotent: []object.Route{{Method: "GET", Prefix: "/entries/"}},
		ColdLimit: 16, WarmLimit: 64, WarmAfter: 5,
	})
}

func (c *cluster) serviceFaults(f service.Faults) {
	c.t.Helper()
	for _, s := range c.services {
		send(c.t, "POST", s.address, service.PathFaults, f)
	}
}

// daemon is one daemon; it keeps its addresses and settings over restarts.
type daemon struct {
	*process
	cluster   *cluster
	name      string
	settings  string // path
	callers   string
	operators string
	peers     string
}

// addDaemon starts a daemon and waits until it is ready.
func (c *cluster) addDaemon(dataCentre string, change func(*config.Settings)) *daemon {
	c.t.Helper()
	d := c.prepareDaemon(fmt.Sprintf("d%d", len(c.daemons)), dataCentre, change)
	c.daemons = append(c.daemons, d)
	d.start()
	d.waitReady()
	return d
}

// prepareDaemon writes the settings of a daemon on free ports.
func (c *cluster) prepareDaemon(name, dataCentre string, change func(*config.Settings)) *daemon {
	c.t.Helper()
	s := config.Default()
	s.Cluster, s.Daemon, s.DataCentre = "tests", name, dataCentre
	s.Callers.Listen, s.Operators.Listen, s.Peers.Listen = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	s.Peers.Key = config.Secret{File: c.key}
	s.Platform.Address = "http://" + c.platform.address
	s.Platform.WatchWait = config.Duration(time.Second)
	s.Platform.HostListInterval = config.Duration(200 * time.Millisecond)
	s.Platform.CallTimeout = config.Duration(500 * time.Millisecond)
	s.Lease.Duration = config.Duration(2 * time.Second)
	s.Targets.ProbeTimeout = config.Duration(500 * time.Millisecond)
	s.Peers.Heartbeat = config.Duration(100 * time.Millisecond)
	s.Peers.Silence = config.Duration(time.Second)
	if change != nil {
		change(s)
	}
	text, err := json.MarshalIndent(s, "", "  ")
	require.NoError(c.t, err)
	path := filepath.Join(c.t.TempDir(), name+".json")
	require.NoError(c.t, os.WriteFile(path, text, 0o600))
	return &daemon{
		cluster: c, name: name, settings: path,
		callers: s.Callers.Listen, operators: s.Operators.Listen, peers: s.Peers.Listen,
	}
}

// freeAddress returns a loopback address below the ports that the system gives to
// outgoing connections, so that none of those can take it meanwhile.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portSpan {
		nextPort = firstPort + (nextPort-firstPort+1)%portSpan
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		require.NoError(t, listener.Close())
		return listener.Addr().String()
	}
	require.Fail(t, "no port is free")
	return ""
}

const (
	firstPort = 12000
	portSpan  = 18000
)

// nextPort starts at a place of this process's own, so that two runs at once do
// not meet.
var nextPort = firstPort + os.Getpid()*97%portSpan

func (d *daemon) start() {
	d.cluster.t.Helper()
	d.process = spawn(d.cluster.t, d.name, "rhubarbswitchd", "run", d.settings)
}

func (d *daemon) ready() bool {
	response, err := control.Get("http://" + d.operators + operatorapi.PathReady)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == 200
}

func (d *daemon) waitReady() {
	d.cluster.t.Helper()
	until(d.cluster.t, d.name+" is ready", func() bool {
		require.False(d.cluster.t, d.hasEnded(), "%s ended: %s", d.name, d.tail())
		return d.ready()
	})
}

func (d *daemon) status() (operatorapi.Status, error) {
	return tryGet[operatorapi.Status](d.operators, operatorapi.PathStatus)
}

func (c *cluster) callers() []string {
	var addresses []string
	for _, d := range c.daemons {
		addresses = append(addresses, d.callers)
	}
	return addresses
}

// waitServing waits until every daemon knows all the others, and n targets of the
// service as serving.
func (c *cluster) waitServing(targets int) {
	c.t.Helper()
	for _, d := range c.daemons {
		until(c.t, d.name+" serves all targets", func() bool {
			s, err := d.status()
			if err != nil || len(s.Daemons) < len(c.daemons) {
				return false
			}
			serving := 0
			for _, target := range s.Services {
				if target.Serving {
					serving++
				}
			}
			return serving == targets
		})
	}
}

// runsByKey adds up the runs of each key and the attempts that ran, over all services.
func (c *cluster) runsByKey() (runs map[string]int64, attempts map[string][]string) {
	c.t.Helper()
	runs, attempts = make(map[string]int64), make(map[string][]string)
	for _, s := range c.services {
		stats := get[service.Stats](c.t, s.address, service.PathStats)
		for key, n := range stats.RunsByKey {
			runs[key] += n
			attempts[key] = append(attempts[key], stats.AttemptsByKey[key]...)
		}
	}
	return runs, attempts
}

// requestOf returns the ID of the request that an attempt belongs to.
func requestOf(attempt string) string {
	id, _, _ := strings.Cut(attempt, ".")
	return id
}
