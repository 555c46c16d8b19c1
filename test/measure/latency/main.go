// Command latency measures the latency that a daemon adds to a call, compared with the same
// call sent directly to the stub service in the same run, and the CPU time of forwarding many
// streams through one daemon.
package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/test/measure/lab"
)

// command holds the flags.
type command struct {
	Calls   int           `help:"Calls of each kind." default:"4000"`
	Streams int           `help:"Streams at once." default:"500"`
	Gap     time.Duration `help:"Time between two tokens of a stream." default:"10ms"`
	Tokens  int           `help:"Tokens of a stream." default:"500"`
}

func main() {
	var c command
	ctx := kong.Parse(&c)
	ctx.FatalIfErrorf(c.run())
}

func (c *command) run() error {
	l, err := lab.New(0)
	if err != nil {
		return err
	}
	defer l.Close()
	if err := l.AddServices(1, 0); err != nil {
		return err
	}
	m := object.Model{Members: 1, Groups: 4, Weights: "w", ColdLimit: 4096, WarmLimit: 4096}
	if err := l.AddEngines(4, 4, false, m, engine.Options{TokenGap: c.Gap, PrefixCacheSize: 16, PollInterval: time.Second}); err != nil {
		return err
	}
	if err := l.AddDaemons(1); err != nil {
		return err
	}
	if err := l.AwaitGroups(4); err != nil {
		return err
	}
	if err := c.addedLatency(l); err != nil {
		return err
	}
	return c.streams(l)
}

// addedLatency alternates calls sent directly to the service with calls through the daemon,
// so that both meet the same conditions, and prints the quantiles of both.
func (c *command) addedLatency(l *lab.Lab) error {
	direct, through := newHistogram(), newHistogram()
	for range c.Calls {
		if err := timedCall(direct, "http://"+l.ServiceAddresses[0]+"/entries", false); err != nil {
			return err
		}
		if err := timedCall(through, "http://"+l.Callers[0]+"/v1/services/"+lab.Service+"/entries", true); err != nil {
			return err
		}
	}
	for _, q := range []float64{50, 99} {
		s, t := direct.ValueAtQuantile(q), through.ValueAtQuantile(q)
		fmt.Printf("idempotent call, p%.0f: straight %d us, through the daemon %d us, added %d us\n", q, s, t, t-s)
	}
	return nil
}

// newHistogram returns a histogram of latencies from 1 µs to 60 s.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// timedCall makes one call and records its latency. A call through the daemon needs the caller
// key, a direct one the attempt header that the daemon would add.
func timedCall(h *hdrhistogram.Histogram, url string, key bool) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if key {
		req.Header.Set("Authorization", "Bearer "+lab.CallerKey)
	} else {
		req.Header.Set(engineapi.HeaderAttempt, "straight")
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return h.RecordValue(time.Since(began).Microseconds())
}

// streams runs many streams at the same time through the daemon. The stubs and the callers
// run in the same process, so the measured CPU time is an upper bound for the daemon.
func (c *command) streams(l *lab.Lab) error {
	before := cpuTime()
	began := time.Now()
	var wg sync.WaitGroup
	failures := make(chan error, c.Streams)
	for i := range c.Streams {
		wg.Go(func() {
			if err := c.stream(l, i); err != nil {
				failures <- err
			}
		})
	}
	wg.Wait()
	close(failures)
	seconds := time.Since(began).Seconds()
	fmt.Printf("streams: %d at once, %d failed, %.0f tokens/s, %.2f cores for engines, daemon and callers together\n",
		c.Streams, len(failures), float64(c.Streams*c.Tokens)/seconds, (cpuTime()-before).Seconds()/seconds)
	return nil
}

// stream sends one streamed completion and reads the answer. An answer without the [DONE]
// event is an error.
func (c *command) stream(l *lab.Lab, i int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"stream %d","max_tokens":%d,"stream":true}`, lab.Model, i, c.Tokens)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+l.Callers[0]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+lab.CallerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	done := false
	buffer := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buffer)
		done = done || strings.Contains(string(buffer[:n]), "[DONE]")
		if err != nil {
			break
		}
	}
	if !done {
		return errors.New("stream ended without its terminal event")
	}
	return nil
}

// cpuTime returns the CPU time that this process has used so far, or 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
