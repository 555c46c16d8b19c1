package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
)

// Kind is the kind of requests of a load.
type Kind string

// The kinds of load.
const (
	Streams     Kind = "streams" // streamed completions
	Completions Kind = "whole"   // completions without streaming
	Keyed       Kind = "keyed"   // calls to a plain service, each with a new idempotency key
	Lookups     Kind = "lookups" // idempotent reads of a plain service
)

// Options describe a load. The seed determines the arrival times (a Poisson process) and the
// prompts. The daemons in Addresses get the requests in turn.
type Options struct {
	Addresses   []string
	CallerKey   string
	Kind        Kind
	Model       string
	Service     string
	Rate        float64 // requests per second
	Duration    time.Duration
	Deadline    time.Duration // sent with each request
	MaxTokens   int           // of each completion
	Prompts     int           // number of distinct prompts
	MaxInFlight int           // arrivals above it are counted as skipped and not sent
	Seed        uint64
	// Pick, if set, returns the address of the daemon for request n, as a load balancer would.
	// An empty address skips the request.
	Pick func(n int) string
}

// Run sends the load and returns the result of each request.
func Run(ctx context.Context, o Options) (Report, []Result, error) {
	if len(o.Addresses) == 0 && o.Pick == nil || o.Rate <= 0 {
		return Report{}, nil, errors.New("give at least one address and a rate above 0")
	}
	s := newSender(o)
	defer s.caller.Close()
	start := time.Now()
	next := start
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(s.random.ExpFloat64() / o.Rate * float64(time.Second)))
		if next.Sub(start) > o.Duration {
			break
		}
		time.Sleep(time.Until(next))
		s.start(ctx, n)
	}
	s.inFlight.Wait()
	return makeReport(o, start, s.skipped, s.results), s.results, nil
}

// sender sends the requests of one load.
type sender struct {
	options  Options
	caller   *Caller
	random   *rand.Rand
	slots    chan struct{} // one element per request in flight
	inFlight sync.WaitGroup
	skipped  int64 // arrivals that were not sent

	mu      sync.Mutex
	results []Result
}

func newSender(o Options) *sender {
	return &sender{
		options: o, caller: NewCaller(o.CallerKey, o.Deadline),
		random: rand.New(rand.NewPCG(o.Seed, 0)), slots: make(chan struct{}, max(o.MaxInFlight, 1)),
	}
}

func (s *sender) start(ctx context.Context, n int) {
	prompt := s.random.IntN(max(s.options.Prompts, 1))
	address := s.options.address(n)
	if address == "" {
		s.skipped++
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		s.skipped++
		return
	}
	s.inFlight.Go(func() {
		result := s.send(ctx, address, n, prompt)
		<-s.slots
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results = append(s.results, result)
	})
}

func (s *sender) send(ctx context.Context, address string, n, prompt int) Result {
	o := s.options
	switch o.Kind {
	case Keyed:
		key, err := uuid.NewV7()
		if err != nil {
			return Result{Address: address, Sent: time.Now(), Err: err}
		}
		return s.caller.Call(ctx, address, Call{
			Service: o.Service, Method: http.MethodPost, Path: "/orders",
			Key: key.String(), Body: fmt.Appendf(nil, `{"entry":%d}`, n),
		})
	case Lookups:
		return s.caller.Call(ctx, address, Call{
			Service: o.Service, Method: http.MethodGet, Path: fmt.Sprintf("/entries/%d", n),
		})
	}
	return s.caller.Generate(ctx, address, engine.Request{
		Model: o.Model, Prompt: Prompt(o.Seed, prompt), MaxTokens: o.MaxTokens, Stream: o.Kind == Streams,
	})
}

func (o Options) address(n int) string {
	if o.Pick != nil {
		return o.Pick(n)
	}
	return o.Addresses[n%len(o.Addresses)]
}

// Prompt returns prompt n of a seed.
func Prompt(seed uint64, n int) string {
	return fmt.Sprintf("Seed %d, topic %d: write a summary of the records of this month.", seed, n)
}
