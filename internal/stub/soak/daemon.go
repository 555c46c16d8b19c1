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
	callersPort, readinessPort, reservationPort, linksPort = 8000, 8001, 8002, 8003
	// stopTimeout bounds the time from SIGTERM to the end of the process: the daemon's grace
	// and 2 s to exit. A later end is a finding.
	stopTimeout = site.Grace + 2*time.Second
	// MaxDaemons is the number of daemons for which a run has loopback addresses.
	MaxDaemons = 250
)

// reserve finds a block of loopback addresses that no other run uses, so that daemons can
// restart on the same addresses. The last byte of a daemon's address is 1 to MaxDaemons. A
// listener on the next address reserves the block until release is called.
func reserve() (prefix string, release func(), err error) {
	for n := os.Getpid(); n < os.Getpid()+1000; n++ {
		prefix = fmt.Sprintf("127.%d.%d.", 1+n/200%200, 1+n%200)
		reservation, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, MaxDaemons+1, reservationPort))
		if err == nil {
			return prefix, func() { _ = reservation.Close() }, nil
		}
	}
	return "", nil, errors.New("no block of loopback addresses is free: end other soak runs")
}

// daemon is one gateway daemon process between two relays. It is restarted after each end.
type daemon struct {
	index            int
	name             string
	callers          *cutter.Cutter // relay from callers to the daemon
	store            *cutter.Cutter // relay from the daemon to the store
	view             *site.View     // its paths to servers; nil in a run with many daemons
	readinessAddress string
	log              *os.File
	timeline         *timeline
	addFinding       func(promise, format string, args ...any)
	recordStart      func(daemon, incarnation int, at time.Time)
	plan             *planWriter
	supervisionEnded chan struct{} // closed once the daemon is not restarted any more

	mu          sync.Mutex
	args        []string // program of the next process, and its arguments
	process     *program.Process
	incarnation int // number of starts so far
	// endRequested is true once endProcess or close has signalled the running process.
	// gracefulStop is true if SIGTERM is the only signal that it got. restartDelay is the wait
	// between the end of the process and the next start.
	endRequested, gracefulStop bool
	restartDelay               time.Duration
	absences                   []*disturbance // open disturbances, which end at the next start
	closing                    bool
}

// startDaemon opens the relays of a daemon, writes its settings, and starts and supervises its
// process.
func (r *run) startDaemon(i int) (*daemon, error) {
	ip := fmt.Sprintf("%s%d", r.prefix, i+1)
	d := &daemon{
		index: i, name: fmt.Sprintf("gateway-%d", i), readinessAddress: fmt.Sprintf("%s:%d", ip, readinessPort),
		timeline: &r.timeline, addFinding: r.checker.addFinding, recordStart: r.checker.recordStart, plan: r.plan, supervisionEnded: make(chan struct{}),
	}
	callers := fmt.Sprintf("%s:%d", ip, callersPort)
	var err error
	if d.callers, err = cutter.Open("127.0.0.1:0", callers); err != nil {
		return nil, err
	}
	links := fmt.Sprintf("%s:%d", ip, linksPort)
	store := r.site.Store.Address
	if r.settings.Daemons <= maxViews {
		if d.view, err = r.site.NewView(links); err != nil {
			return nil, err
		}
		store = d.view.Address
	}
	if d.store, err = cutter.Open("127.0.0.1:0", store); err != nil {
		return nil, err
	}
	set := r.site.Settings(d.name, zones[i%len(zones)], callers, d.readinessAddress, d.store.Address())
	set["links"] = links
	settings, err := json.Marshal(set)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(r.dir, d.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if d.log, err = os.Create(filepath.Join(r.dir, d.name+".log")); err != nil {
		return nil, errors.Wrap(err, "create the log file")
	}
	program := r.settings.Program
	if r.settings.Former != "" {
		program = r.settings.Former
	}
	d.args = []string{program, "gateway", path}
	if err := d.startProcess(); err != nil {
		return nil, err
	}
	go d.supervise()
	return d, nil
}

func (d *daemon) startProcess() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Its log is that of several processes, and of several builds in some runs.
	if _, err := fmt.Fprintf(d.log, "{\"msg\":\"the soak starts a process\",\"program\":%q}\n", d.args[0]); err != nil {
		return errors.Wrap(err, "write to the log file")
	}
	p, err := program.Start(d.log, d.log, d.args[0], d.args[1:]...)
	if err != nil {
		return err
	}
	d.process, d.endRequested, d.gracefulStop = p, false, false
	d.incarnation++
	d.recordStart(d.index, d.incarnation, time.Now())
	d.plan.add(planLine{Phase: "start", Scope: d.name})
	for _, s := range d.absences {
		d.timeline.end(s)
	}
	d.absences = nil
	return nil
}

// supervise restarts the process after each end, until the daemon is closed. It reports an end
// that was not requested, and a graceful stop with an exit code other than 0.
func (d *daemon) supervise() {
	defer close(d.supervisionEnded)
	for {
		<-d.process.Ended()
		d.mu.Lock()
		endRequested, gracefulStop, restartDelay, closing, code := d.endRequested, d.gracefulStop, d.restartDelay, d.closing, d.process.ExitCode()
		d.mu.Unlock()
		switch {
		case !endRequested:
			d.addFinding("process", "%s ended unexpectedly with code %d", d.name, code)
		case gracefulStop && code != 0:
			d.addFinding("process", "%s ended with code %d after SIGTERM", d.name, code)
		}
		if closing {
			return
		}
		time.Sleep(restartDelay)
		if err := d.startProcess(); err != nil {
			d.addFinding("process", "%s can't be started: %v", d.name, err)
			return
		}
	}
}

// endProcess sends a signal that ends the process, which is restarted after restartDelay.
// SIGTERM without an earlier signal is a graceful stop, during which the daemon must keep most
// promises. A second SIGTERM during a graceful stop, or a second SIGKILL, has no effect.
func (d *daemon) endProcess(s syscall.Signal, restartDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.endRequested && (d.gracefulStop == (s == syscall.SIGTERM)) {
		return
	}
	d.gracefulStop = s == syscall.SIGTERM && !d.endRequested
	d.endRequested, d.restartDelay = true, restartDelay
	d.plan.add(planLine{Phase: s.String(), Scope: d.name})
	d.absences = append(d.absences, d.timeline.begin(d.index, s == syscall.SIGTERM))
	d.process.Signal(s)
	if d.gracefulStop {
		p := d.process
		time.AfterFunc(stopTimeout, func() { d.checkStopped(p) })
	}
}

// checkStopped reports a process that is still running stopTimeout after a graceful stop
// began, unless its daemon was disturbed otherwise.
func (d *daemon) checkStopped(p *program.Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == p && d.gracefulStop && !d.closing && d.timeline.undisturbed(d.index, time.Now().Add(-stopTimeout), time.Now(), true) {
		select {
		case <-p.Ended():
		default:
			d.addFinding("process", "%s still runs %s after SIGTERM", d.name, stopTimeout)
		}
	}
}

func (d *daemon) current() (*program.Process, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process, d.incarnation
}

// close kills the process and ends its supervision.
func (d *daemon) close() {
	d.mu.Lock()
	d.closing, d.endRequested = true, true
	d.gracefulStop = false
	d.process.Signal(syscall.SIGKILL)
	d.mu.Unlock()
	<-d.supervisionEnded
	d.callers.Close()
	d.store.Close()
	if d.view != nil {
		d.view.Close()
	}
	_ = d.log.Close()
}
