// Command stand plays the cases of the review: it starts gateway daemons as separate processes in
// front of stand-ins for the platform's store, for servers and for clients, brings about one
// disruption, and checks one rule. Run it through the run.sh of a case.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	hostName  = "app.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
	teamName  = "hule930"
	// heartbeat is the interval at which servers write their entries; an entry goes after three
	// intervals of silence.
	heartbeat = 1200 * time.Millisecond
	// The bounds of sites/bucha-mtandao.toml.
	configApply   = 2 * time.Second
	rollbackSlack = 250 * time.Millisecond
	coldOverage   = 1.5
	coldSlack     = 5.0
	stability     = 3 * time.Second
	memoryMiB     = 284
)

// world is a small deployment: a store, servers of plain services, and daemons.
type world struct {
	trouble bool
	dir     string // of record.txt
	temp    string // of settings
	program string
	store   *site.Store
	began   time.Time
	daemons []*daemon

	mu      sync.Mutex
	record  *os.File
	proxies map[string]map[string]*proxy // by daemon and address of a server
	lastID  atomic.Int64
	runs    []run
}

// run is one request that a server began to work on.
type run struct {
	request, server, service string
	at                       time.Time
}

func newWorld(dir string) (*world, error) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: "target/rhubarbswitchd", began: time.Now(), proxies: make(map[string]map[string]*proxy)}
	var err error
	if w.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		return nil, err
	}
	if w.temp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.store, err = site.OpenStore(); err != nil {
		return nil, err
	}
	w.note("trouble: %v", w.trouble)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf("%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	w.store.Close()
	_ = w.record.Close()
	_ = os.RemoveAll(w.temp)
}

// daemon is one gateway daemon process.
type daemon struct {
	world              *world
	name, zone         string
	callers, readiness string
	links              string
	storeTurnsAway     atomic.Bool // the store answers it with 503
	settings           string      // path of the settings file
	log                *os.File
	startedAt          time.Time
	command            *exec.Cmd
	waited             chan struct{}
	front              *httptest.Server
	ended              atomic.Bool
}

// Servers and daemons listen on loopback addresses of their own, so that no outgoing connection takes a
// port to which they come back.
const (
	serverHost = "127.0.0.2"
	daemonHost = "127.0.0.3"
)

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", daemonHost+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// startDaemon starts a daemon with the command of the deploy file. It reaches the store at an address
// of its own, so that the store can turn it away, and servers through proxies of its own.
func (w *world) startDaemon(name, zone string) (*daemon, error) {
	d := &daemon{world: w, name: name, zone: zone}
	var metrics string
	for _, a := range []*string{&d.callers, &d.readiness, &d.links, &metrics} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	d.front = httptest.NewServer(http.HandlerFunc(d.serveStore))
	settings, err := json.Marshal(map[string]any{
		"daemon": name, "dataCentre": zone, "callers": d.callers, "readiness": d.readiness, "metrics": metrics, "links": d.links,
		"platform": strings.TrimPrefix(d.front.URL, "http://"), "cores": 0.4, "memoryMiB": memoryMiB, "changeWithin": "2000ms", "grace": "8s",
		"retryShare": 0.2, "retrySlack": 132, "retryWindow": "10s", "engineStall": "5000ms",
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.temp, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	d.settings = path
	if d.log, err = os.Create(filepath.Join(w.temp, name+".log")); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	return d, nil
}

// start starts the process, again after it has ended. Call it from the main goroutine.
func (d *daemon) start() error {
	d.command = exec.Command(d.world.program, "gateway")
	d.command.Env = append(os.Environ(), "RHUBARBSWITCH_NODE_FILE="+d.settings)
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.waited, d.startedAt = make(chan struct{}), time.Now()
	d.ended.Store(false)
	if err := d.command.Start(); err != nil {
		return err
	}
	d.world.note("%s started in %s: callers %s", d.name, d.zone, d.callers)
	go func(command *exec.Cmd, waited chan struct{}) {
		_ = command.Wait()
		d.ended.Store(true)
		d.world.note("%s ended: %s", d.name, command.ProcessState)
		close(waited)
	}(d.command, d.waited)
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.world.say("%s gets %s", d.name, s)
	_ = d.command.Process.Signal(s)
}

// kill ends the process, if it still runs.
func (d *daemon) kill() {
	if !d.ended.Load() {
		_ = d.command.Process.Kill()
		<-d.waited
	}
	d.front.CloseClientConnections()
	d.front.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		data, err := os.ReadFile(filepath.Join(d.world.temp, d.name+".log"))
		if err == nil {
			_ = os.WriteFile(filepath.Join(keep, d.name+".log"), data, 0o600)
		}
	}
}

// serveStore is the store as this daemon reaches it.
func (d *daemon) serveStore(w http.ResponseWriter, r *http.Request) {
	if d.storeTurnsAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := &buffered{header: w.Header(), status: http.StatusOK}
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.world.store.ServeHTTP(answer, r)
	}()
	ticks := time.NewTicker(20 * time.Millisecond)
	defer ticks.Stop()
	for {
		select {
		case <-done:
			w.WriteHeader(answer.status)
			_, _ = w.Write(d.world.translate(d.name, answer.body.Bytes()))
			return
		case <-ticks.C:
			if d.storeTurnsAway.Load() {
				panic(http.ErrAbortHandler) // a watch that is waiting is cut off
			}
		}
	}
}

// buffered keeps an answer of the store.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffered) Header() http.Header         { return b.header }
func (b *buffered) WriteHeader(status int)      { b.status = status }
func (b *buffered) Write(p []byte) (int, error) { return b.body.Write(p) }

// translate replaces the addresses of servers by those of the daemon's own proxies, so that one
// daemon's path to servers can be cut.
func (w *world) translate(daemon string, body []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, p := range w.proxies[daemon] {
		body = bytes.ReplaceAll(body, []byte(strconv.Quote(address)), []byte(strconv.Quote(p.address)))
	}
	return body
}

// waitReady waits until a daemon says that it is ready.
func (d *daemon) waitReady() error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + d.readiness + "/rhubarbswitch/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// route is one route of the configuration.
type route struct {
	prefix, kind, service string
	timeout               time.Duration
	attempts              int
}

// configure writes a version of the configuration in the operator's role.
func (w *world) configure(version int, coldPerS float64, services []string, routes ...route) {
	var rs, ss []map[string]any
	for i, r := range routes {
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": hostName, "pathPrefix": r.prefix, "type": r.kind, "service": r.service, "timeoutMs": r.timeout.Milliseconds(),
			"goalMs": 100, "priority": 2, "maxAttempts": r.attempts,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 350, "coldStartS": 3, "coldPerS": coldPerS})
	}
	w.store.Put("config", "main", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": teamName, "apiKeys": []string{clientKey}}},
	})
	w.say("configuration %d acknowledged", version)
}

// proxy relays connections of one daemon to one server until it is cut.
type proxy struct {
	address, target string
	mu              sync.Mutex
	listener        net.Listener
	conns           map[net.Conn]bool
}

// addProxies opens a proxy to an address for each daemon name.
func (w *world) addProxies(target string, daemons ...string) error {
	for _, name := range daemons {
		p := &proxy{target: target, conns: make(map[net.Conn]bool)}
		if err := p.open(serverHost + ":0"); err != nil {
			return err
		}
		w.mu.Lock()
		if w.proxies[name] == nil {
			w.proxies[name] = make(map[string]*proxy)
		}
		w.proxies[name][target] = p
		w.mu.Unlock()
	}
	return nil
}

func (p *proxy) open(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.address, p.listener = l.Addr().String(), l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c)
		}
	}()
	return nil
}

func (p *proxy) relay(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { copyAndClose(t, c) })
	both.Go(func() { copyAndClose(c, t) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

func copyAndClose(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// cutOff refuses new connections and resets those that are open.
func (p *proxy) cutOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
}

// heal ends the cut.
func (p *proxy) heal() error { return p.open(p.address) }

// cutServers partitions a daemon from all servers, or ends that.
func (w *world) cutServers(daemon string, cut bool) error {
	w.mu.Lock()
	proxies := w.proxies[daemon]
	w.mu.Unlock()
	for _, p := range proxies {
		if cut {
			p.cutOff()
		} else if err := p.heal(); err != nil {
			return err
		}
	}
	w.say("%s partitioned from all servers: %v", daemon, cut)
	return nil
}

// sleepContext waits, and returns false if the context ends before.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
