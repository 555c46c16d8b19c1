// Package lifecycle lets a stand-in end and start again within one operating
// system process: each incarnation has its own ID, state and connections, and all
// of them go when it ends.
package lifecycle

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Incarnation is one run of the pretended process.
type Incarnation[S any] struct {
	ID    string
	State S

	ctx    context.Context
	cancel context.CancelFunc
	conns  map[net.Conn]struct{} // guarded by Process.mu
}

// Context ends with the incarnation.
func (i *Incarnation[S]) Context() context.Context { return i.ctx }

// Process is a sequence of incarnations.
type Process[S any] struct {
	name     string
	boot     int64
	restart  time.Duration
	newState func() S

	mu      sync.Mutex
	serial  int
	current *Incarnation[S] // nil between two incarnations
}

// New starts the first incarnation. restart is the pause between two incarnations.
func New[S any](name string, restart time.Duration, newState func() S) *Process[S] {
	p := &Process[S]{name: name, boot: time.Now().UnixNano(), restart: restart, newState: newState}
	p.start()
	return p
}

func (p *Process[S]) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serial++
	ctx, cancel := context.WithCancel(context.Background())
	p.current = &Incarnation[S]{
		ID:    fmt.Sprintf("%s-%x-%d", p.name, p.boot, p.serial),
		State: p.newState(), ctx: ctx, cancel: cancel, conns: make(map[net.Conn]struct{}),
	}
}

// Current returns the incarnation that runs now, if any.
func (p *Process[S]) Current() (*Incarnation[S], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current, p.current != nil
}

// Serial counts the incarnations so far.
func (p *Process[S]) Serial() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serial
}

// End resets every connection of the incarnation and starts the next one after the
// pause. It does nothing if the incarnation has ended before.
func (p *Process[S]) End(i *Incarnation[S]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != i {
		return
	}
	p.current = nil
	i.cancel()
	for conn := range i.conns {
		reset(conn)
	}
	time.AfterFunc(p.restart, p.start)
}

type incarnationKey struct{}

// ConnContext binds an accepted connection to the incarnation that runs, or resets
// it if none does. It is an http.Server's hook.
func (p *Process[S]) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		reset(conn)
		return ctx
	}
	i := p.current
	i.conns[conn] = struct{}{}
	return context.WithValue(ctx, incarnationKey{}, i)
}

// ConnState forgets closed connections. It is an http.Server's hook.
func (p *Process[S]) ConnState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		delete(p.current.conns, conn)
	}
}

// Of returns the incarnation that a request has reached. A request over a
// connection of an ended incarnation, or between two, is broken off.
func (p *Process[S]) Of(r *http.Request) *Incarnation[S] {
	current, running := p.Current()
	if !running {
		panic(http.ErrAbortHandler)
	}
	bound, isBound := r.Context().Value(incarnationKey{}).(*Incarnation[S])
	if isBound && bound != current {
		panic(http.ErrAbortHandler)
	}
	return current
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the peer sees a reset, as when a process dies
	}
	_ = conn.Close()
}
