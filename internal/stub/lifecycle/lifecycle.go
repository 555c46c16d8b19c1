// Package lifecycle simulates crashes and restarts of a stub within one operating system
// process. A Process is a sequence of incarnations, of which at most one is running. Each has
// its own ID, state and connections. When an incarnation ends, its connections are reset and
// its state is lost.
package lifecycle

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Incarnation is one run of the simulated process.
type Incarnation[S any] struct {
	ID    string
	State S

	ctx    context.Context
	cancel context.CancelFunc
	conns  map[net.Conn]struct{} // guarded by Process.mu
}

// Context returns a context that is cancelled when the incarnation ends.
func (i *Incarnation[S]) Context() context.Context { return i.ctx }

// Process is the simulated process, with a state of type S in each incarnation.
type Process[S any] struct {
	name           string
	startedAtNanos int64 // distinguishes the incarnation IDs of several runs of the program
	restartDelay   time.Duration
	newState       func() S

	mu           sync.Mutex
	incarnations int             // number of starts so far
	current      *Incarnation[S] // nil between two incarnations
}

// New starts the first incarnation. Each end of an incarnation is followed by the next start
// after restartDelay.
func New[S any](name string, restartDelay time.Duration, newState func() S) *Process[S] {
	p := &Process[S]{name: name, startedAtNanos: time.Now().UnixNano(), restartDelay: restartDelay, newState: newState}
	p.start()
	return p
}

func (p *Process[S]) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnations++
	ctx, cancel := context.WithCancel(context.Background())
	p.current = &Incarnation[S]{
		ID:    fmt.Sprintf("%s-%x-%d", p.name, p.startedAtNanos, p.incarnations),
		State: p.newState(), ctx: ctx, cancel: cancel, conns: make(map[net.Conn]struct{}),
	}
}

// Current returns the running incarnation, if there is one.
func (p *Process[S]) Current() (*Incarnation[S], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current, p.current != nil
}

// Incarnations returns the number of incarnations started so far.
func (p *Process[S]) Incarnations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations
}

// End resets every connection of the incarnation and starts the next one after restartDelay.
// It does nothing if the incarnation has already ended.
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
	time.AfterFunc(p.restartDelay, p.start)
}

type incarnationKey struct{}

// ConnContext is a hook of http.Server. It binds an accepted connection to the running
// incarnation, or resets it if none is running.
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

// ConnState is a hook of http.Server that removes closed connections.
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

// Of returns the incarnation that a request has reached. It aborts a request on a connection
// of an ended incarnation, or between two incarnations.
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
		_ = tcp.SetLinger(0) // the peer gets a reset, as when a process dies
	}
	_ = conn.Close()
}
