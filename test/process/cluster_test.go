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
	"sync"
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

// stub is a running rhubarbstub process: a platform, a service, an engine or a relay.
type stub struct {
	*process
	address string // host:port that the stub listens on
}

func startStub(t *testing.T, name string, args ...string) *stub {
	t.Helper()
	p := spawn(t, name, "rhubarbstub", args...)
	return &stub{p, p.readLine()}
}

// cluster is a stub platform, stub targets and the daemons that serve them.
type cluster struct {
	t        *testing.T
	platform *stub
	daemons  []*daemon
	services []*stub // targets of the plain service
	// serviceDataCentres holds the data centre of each of the services, by index.
	serviceDataCentres []string
	engines            []*engineHost
	peerKeyPath        string // path of the file with the key that all peers share
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	key := filepath.Join(t.TempDir(), "peers.key")
	require.NoError(t, os.WriteFile(key, []byte("a key that all daemons share"), 0o600))
	return &cluster{t: t, platform: startStub(t, "platform", "platform"), peerKeyPath: key}
}

// put writes an object to the platform, replacing any stored version, and returns the
// new version.
func (c *cluster) put(kind object.Kind, name string, value any) uint64 {
	c.t.Helper()
	path := platformapi.PathObjects + string(kind) + "/" + name
	current, _ := tryGetJSON[platformapi.Envelope](c.platform.address, path) // version 0 if absent
	text := sendJSON(c.t, "PUT", c.platform.address, fmt.Sprintf("%s?ifVersion=%d", path, current.Version), value)
	var written platformapi.Envelope
	require.NoError(c.t, json.Unmarshal(text, &written))
	return written.Version
}

func (c *cluster) setPlatformFaults(f platform.Faults) {
	c.t.Helper()
	sendJSON(c.t, "POST", c.platform.address, platform.PathFaults, f)
}

// putContract writes a contract that gives the tests' customer every model and service.
func (c *cluster) putContract() {
	c.t.Helper()
	sum := sha256.Sum256([]byte(callerKey))
	c.put(object.KindContract, customer, &object.Contract{
		KeyHashes: []string{hex.EncodeToString(sum[:])}, Models: []string{"*"}, Services: []string{"*"},
	})
}

// addServices starts n targets of the plain service, dealt to the data centres in turn,
// and writes the service's object.
func (c *cluster) addServices(n int, dataCentres []string, args ...string) {
	c.t.Helper()
	var targets []object.ServiceTarget
	for i := range n {
		host := fmt.Sprintf("s%d", i)
		s := startStub(c.t, host, append([]string{"service", "--host", host, "--seed", fmt.Sprint(i + 1)}, args...)...)
		c.services = append(c.services, s)
		c.serviceDataCentres = append(c.serviceDataCentres, dataCentres[i%len(dataCentres)])
		targets = append(targets, object.ServiceTarget{
			Host: host, Address: s.address, DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	c.put(object.KindService, serviceName, &object.Service{
		Targets: targets, Idempotent: []object.Route{{Method: "GET", Prefix: "/entries/"}},
		ColdLimit: 16, WarmLimit: 64, WarmAfter: 5,
	})
}

func (c *cluster) setServiceFaults(f service.Faults) {
	c.t.Helper()
	for _, s := range c.services {
		sendJSON(c.t, "POST", s.address, service.PathFaults, f)
	}
}

// daemon is one rhubarbswitchd. It keeps its addresses and settings when it is restarted.
type daemon struct {
	*process
	cluster          *cluster
	name             string
	settingsPath     string // path of the settings file
	callersAddress   string // address of the listener for callers
	operatorsAddress string // address of the listener for operators
	peersAddress     string // address of the listener for other daemons
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

// prepareDaemon writes the settings of a daemon on free ports, without starting it. The
// timeouts and intervals are shorter than the defaults, to keep the tests short.
func (c *cluster) prepareDaemon(name, dataCentre string, change func(*config.Settings)) *daemon {
	c.t.Helper()
	s := config.Default()
	s.Cluster, s.Daemon, s.DataCentre = "tests", name, dataCentre
	s.Callers.Listen, s.Operators.Listen, s.Peers.Listen = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	s.Peers.Key = config.Secret{File: c.peerKeyPath}
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
		cluster: c, name: name, settingsPath: path,
		callersAddress: s.Callers.Listen, operatorsAddress: s.Operators.Listen, peersAddress: s.Peers.Listen,
	}
}

// freeAddress returns a free loopback address. Its port is below the ephemeral range, so
// that no outgoing connection can take it before the daemon listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	nextPortMu.Lock()
	defer nextPortMu.Unlock()
	for range portCount {
		nextPort = firstPort + (nextPort-firstPort+1)%portCount
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

// freeAddress draws from portCount ports, the lowest of which is firstPort.
const (
	firstPort = 12000
	portCount = 18000
)

// nextPort is the port that was tried last. It starts at a port derived from the process
// ID, so that two test runs on one machine do not collide. nextPortMu guards it.
var (
	nextPortMu sync.Mutex
	nextPort   = firstPort + os.Getpid()*97%portCount
)

func (d *daemon) start() {
	d.cluster.t.Helper()
	d.process = spawn(d.cluster.t, d.name, "rhubarbswitchd", "run", d.settingsPath)
}

// ready reports whether the daemon answers its readiness check with 200.
func (d *daemon) ready() bool {
	response, err := controlClient.Get("http://" + d.operatorsAddress + operatorapi.PathReady)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == 200
}

func (d *daemon) waitReady() {
	d.cluster.t.Helper()
	waitUntil(d.cluster.t, d.name+" is ready", func() bool {
		require.False(d.cluster.t, d.hasExited(), "%s exited: %s", d.name, d.logTail())
		return d.ready()
	})
}

func (d *daemon) status() (operatorapi.Status, error) {
	return tryGetJSON[operatorapi.Status](d.operatorsAddress, operatorapi.PathStatus)
}

// callersAddresses returns the caller addresses of all daemons.
func (c *cluster) callersAddresses() []string {
	var addresses []string
	for _, d := range c.daemons {
		addresses = append(addresses, d.callersAddress)
	}
	return addresses
}

// waitServing waits until every daemon lists all the others and reports exactly the given
// number of service targets as serving.
func (c *cluster) waitServing(targets int) {
	c.t.Helper()
	for _, d := range c.daemons {
		waitUntil(c.t, d.name+" serves all targets", func() bool {
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

// runsByKey returns, summed over all services, how often each key ran, and the IDs of the
// attempts that ran it.
func (c *cluster) runsByKey() (runs map[string]int64, attempts map[string][]string) {
	c.t.Helper()
	runs, attempts = make(map[string]int64), make(map[string][]string)
	for _, s := range c.services {
		stats := getJSON[service.Stats](c.t, s.address, service.PathStats)
		for key, n := range stats.RunsByKey {
			runs[key] += n
			attempts[key] = append(attempts[key], stats.AttemptsByKey[key]...)
		}
	}
	return runs, attempts
}

// requestIDOf returns the ID of the request that an attempt belongs to: the part of the
// attempt's ID before the dot.
func requestIDOf(attempt string) string {
	id, _, _ := strings.Cut(attempt, ".")
	return id
}
