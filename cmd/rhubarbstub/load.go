package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
)

type loadCommand struct {
	To          []string      `help:"Addresses of the daemons' callers' interface." required:""`
	CallerKey   string        `help:"Bearer key of the customer." required:""`
	Kind        load.Kind     `help:"What to send: streams, whole, keyed or lookups." enum:"streams,whole,keyed,lookups" default:"streams"`
	Model       string        `help:"Model that completions ask for."`
	Service     string        `help:"Service that calls go to."`
	Rate        float64       `help:"Requests per second." default:"10"`
	Duration    time.Duration `help:"How long to send." default:"10s"`
	Deadline    time.Duration `help:"Deadline of each request." default:"10s"`
	MaxTokens   int           `help:"Tokens of each completion." default:"32"`
	Prompts     int           `help:"Distinct prompts." default:"50"`
	MaxInFlight int           `help:"Requests in flight; arrivals beyond them are counted and not sent." default:"1000"`
	Seed        uint64        `help:"Seed of arrivals and prompts." default:"1"`
}

// Run sends the load and prints its report as JSON. A signal ends the load early.
func (c *loadCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, _, err := load.Run(ctx, load.Options{
		Addresses: c.To, CallerKey: c.CallerKey, Kind: c.Kind, Model: c.Model, Service: c.Service,
		Rate: c.Rate, Duration: c.Duration, Deadline: c.Deadline, MaxTokens: c.MaxTokens,
		Prompts: c.Prompts, MaxInFlight: c.MaxInFlight, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(report)
}
