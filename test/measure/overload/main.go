// Command overload measures goodput, the rate of requests that complete within their
// deadline, at loads from 0.9 to 10 times the capacity of the targets. The last row returns
// to 0.9 and shows whether goodput recovers after the overload.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/test/measure/lab"
)

const (
	daemons   = 5
	groups    = 4  // each with one member
	warmLimit = 20 // requests in flight at one group, cold or warm
	tokens    = 20 // in each answer
	// tokenGap is the time until the first token and between two tokens.
	tokenGap = 10 * time.Millisecond
	// runTime is the time that an engine takes for one request.
	runTime = tokens * tokenGap
	// deadline is the callers' timeout. An answer after it does not count as goodput.
	deadline = time.Second
)

// command holds the flags.
type command struct {
	Seed uint64        `help:"Seed of the arrivals." default:"1"`
	For  time.Duration `help:"Time at each load." default:"10s"`
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
	m := object.Model{Members: 1, Groups: groups, Weights: "w", ColdLimit: warmLimit, WarmLimit: warmLimit}
	if err := l.AddEngines(groups, groups, false, m, engine.Options{TokenGap: tokenGap, FirstToken: tokenGap, PollInterval: time.Second, PrefixCacheSize: 64}); err != nil {
		return err
	}
	if err := l.AddDaemons(daemons); err != nil {
		return err
	}
	if err := l.AwaitGroups(groups); err != nil {
		return err
	}
	capacity := float64(groups*warmLimit) / runTime.Seconds()
	fmt.Printf("capacity by places and run time: %.0f requests/s\n", capacity)
	fmt.Println("| load | sent/s | whole in time/s | refused | p50 ms of the whole | p99 ms |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, factor := range []float64{0.9, 1, 2, 10, 0.9} {
		o := load.Options{
			Addresses: l.Callers, CallerKey: lab.CallerKey, Kind: load.Streams, Model: lab.Model,
			Rate: factor * capacity, Duration: c.For, Deadline: deadline, MaxTokens: tokens,
			Prompts: 1000, MaxInFlight: 20000, Seed: c.Seed,
		}
		r, _, err := load.Run(context.Background(), o)
		if err != nil {
			return err
		}
		seconds := c.For.Seconds()
		fmt.Printf("| %.1f x | %.0f | %.0f | %d | %.0f | %.0f |\n", factor, float64(r.Sent)/seconds,
			float64(r.InDeadline)/seconds, r.NotRun, float64(r.Latency.P50)/1000, float64(r.Latency.P99)/1000)
	}
	return nil
}
