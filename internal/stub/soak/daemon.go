package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/program"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	callersPort, readinessPort, markPort, linksPort = 8000, 8001, 8002, 8003
	// stopWithin is how long a stop may take after SIGTERM: the grace, and time to end.
	stopWithin = site.Grace + 2*time.Second
	// MostDaemons is the number of daemons for which a run has addresses.
	MostDaemons = 250
)

// reserve finds a block of loopback addresses that no other run uses, so that daemons can
// start again on the same ones. They end in 1 to MostDaemons.
func reserve() (prefix string, release func(), err error) {
	for n := os.Getpid(); n < os.Getpid()+1000; n++ {
		prefix = fmt.Sprintf("127.%d.%d.", 1+n/200%200, 1+n%200)
		mark, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, MostDaemons+1, markPort))
		if err == nil {
			return prefix, func() { _ = mark.Close() }, nil
		}
	}
	return "", nil, errors.New("no loopback addresses are free: end other runs")
}

// daemon is one gateway daemon between relays, started again whenever it has ended.
type daemon struct {
	index    int
	name     string
	callers  *cutter.Cutter // from its callers to it
	store    *cutter.Cutter // from it to the store
	ready    string
	args     []string
	log      *os.File
	timeline *timeline
	find     func(promise, format string, args ...any)
	ended    chan struct{} // the daemon is not started any more

	mu      sync.Mutex
	process *program.Process
	life    int // starts so far
	// asked tells that the process was told to end, by SIGTERM alone if stopped; down is
	// how long it is to stay away.
	asked, stopped bool
	down           time.Duration
	away           []*span // to end once it has started again
	closing        bool
}

// start makes a daemon and starts it.
func (r *run) startDaemon(i int) (*daemon, error) {
	ip := fmt.Sprintf("%s%d", r.prefix, i+1)
	d := &daemon{
		index: i, name: fmt.Sprintf("gateway-%d", i), ready: fmt.Sprintf("%s:%d", ip, readinessPort),
		timeline: &r.timeline, find: r.check.find, ended: make(chan struct{}),
	}
	callers := fmt.Sprintf("%s:%d", ip, callersPort)
	var err error
	if d.callers, err = cutter.Open("127.0.0.1:0", callers); err != nil {
		return nil, err
	}
	if d.store, err = cutter.Open("127.0.0.1:0", r.site.Store.Address); err != nil {
		return nil, err
	}
	set := r.site.Settings(d.name, zones[i%len(zones)], callers, d.ready, d.store.Address())
	set["links"] = fmt.Sprintf("%s:%d", ip, linksPort)
	settings, err := json.Marshal(set)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(r.dir, d.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if d.log, err = os.Create(filepath.Join(r.dir, d.name+".log")); err != nil {
		return nil, errors.Wrap(err, "open a log")
	}
	d.args = []string{r.set.Program, "gateway", path}
	if err := d.begin(); err != nil {
		return nil, err
	}
	go d.supervise()
	return d, nil
}

func (d *daemon) begin() error {
	p, err := program.Start(d.log, d.log, d.args[0], d.args[1:]...)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process, d.asked, d.stopped = p, false, false
	d.life++
	for _, s := range d.away {
		d.timeline.end(s)
	}
	d.away = nil
	return nil
}

// supervise starts the daemon again whenever it has ended.
func (d *daemon) supervise() {
	defer close(d.ended)
	for {
		<-d.process.Ended()
		d.mu.Lock()
		asked, stopped, down, closing, code := d.asked, d.stopped, d.down, d.closing, d.process.ExitCode()
		d.mu.Unlock()
		switch {
		case !asked:
			d.find("process", "%s ended by itself with code %d", d.name, code)
		case stopped && code != 0:
			d.find("process", "%s ended with code %d after SIGTERM", d.name, code)
		}
		if closing {
			return
		}
		time.Sleep(down)
		if err := d.begin(); err != nil {
			d.find("process", "%s can't be started: %v", d.name, err)
			return
		}
	}
}

// signal tells the process to end and stay away for a while. SIGTERM alone is a graceful
// stop, which is no disturbance in itself.
func (d *daemon) signal(s syscall.Signal, down time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.asked && (d.stopped == (s == syscall.SIGTERM)) {
		return
	}
	d.stopped = s == syscall.SIGTERM && !d.asked
	d.asked, d.down = true, down
	d.away = append(d.away, d.timeline.begin(d.index, s == syscall.SIGTERM))
	d.process.Signal(s)
	if d.stopped {
		p := d.process
		time.AfterFunc(stopWithin, func() { d.overdue(p) })
	}
}

// overdue finds that a process has not ended in time after SIGTERM alone.
func (d *daemon) overdue(p *program.Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == p && d.stopped && !d.closing && d.timeline.calm(d.index, time.Now().Add(-stopWithin), time.Now(), true) {
		select {
		case <-p.Ended():
		default:
			d.find("process", "%s goes on %s after SIGTERM", d.name, stopWithin)
		}
	}
}

func (d *daemon) current() (*program.Process, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process, d.life
}

// close ends the daemon for good.
func (d *daemon) close() {
	d.mu.Lock()
	d.closing, d.asked = true, true
	d.stopped = false
	d.process.Signal(syscall.SIGKILL)
	d.mu.Unlock()
	<-d.ended
	d.callers.Close()
	d.store.Close()
	_ = d.log.Close()
}
