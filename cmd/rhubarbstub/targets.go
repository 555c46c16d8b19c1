package main

import (
	"os"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/service"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

// warmthFlags limit the requests that a target runs at once, during and after its cold start.
type warmthFlags struct {
	ColdLimit  int   `help:"Requests in flight that a cold target bears; 0 is no bound."`
	WarmAfter  int64 `help:"Whole answers that end the cold start." default:"10"`
	QueueLimit int   `help:"Requests in flight beyond which the target refuses; 0 is no bound."`
}

func (f warmthFlags) limits() warmth.Limits {
	return warmth.Limits{ColdLimit: f.ColdLimit, WarmAfter: f.WarmAfter, InFlightLimit: f.QueueLimit}
}

type engineCommand struct {
	warmthFlags
	Listen          string  `help:"Address to listen on; port 0 takes a free one." default:"127.0.0.1:0"`
	Host            string  `help:"Name of the host." required:""`
	ChecksFencing   bool    `help:"Refuse orders with an old fencing number."`
	KeepsFence      bool    `help:"Remember the highest fencing number over a restart."`
	TokensPerSecond float64 `help:"Tokens per second of one answer." default:"100"`
	FirstTokenMs    int64   `help:"Milliseconds to the first token on a cached prefix." default:"20"`
	MissMs          int64   `help:"Milliseconds more on any other prefix." default:"20"`
	LoadMs          int64   `help:"Milliseconds that loading a model takes." default:"200"`
	RestartMs       int64   `help:"Milliseconds between two incarnations." default:"200"`
	PollMs          int64   `help:"Milliseconds between two looks at the group's members." default:"100"`
	NoticeMs        int64   `help:"Milliseconds for which a lost member goes unreported." default:"1000"`
	BreakMs         int64   `help:"Milliseconds until a request on a broken group is broken off." default:"2000"`
	ReportLagMs     int64   `help:"Greatest age of the reported load." default:"200"`
	Prefixes        int     `help:"Distinct prompt prefixes kept in the cache." default:"64"`
}

// Run serves the stub of the engine until it receives a signal.
func (c *engineCommand) Run() error {
	stub := engine.New(engine.Options{
		Host: c.Host, ChecksFencing: c.ChecksFencing, PersistsFence: c.KeepsFence,
		TokenGap:   time.Duration(float64(time.Second) / c.TokensPerSecond),
		FirstToken: millis(c.FirstTokenMs), MissPenalty: millis(c.MissMs),
		LoadTime: millis(c.LoadMs), RestartDelay: millis(c.RestartMs), PollInterval: millis(c.PollMs),
		LossReportDelay: millis(c.NoticeMs), HangTimeout: millis(c.BreakMs), ReportMaxAge: millis(c.ReportLagMs),
		PrefixCacheSize: c.Prefixes, Warmth: c.limits(),
	})
	return serve.Run(os.Stdout, c.Listen, stub.Handler(), stub.Hooks())
}

type serviceCommand struct {
	warmthFlags
	Listen    string `help:"Address to listen on; port 0 takes a free one." default:"127.0.0.1:0"`
	Host      string `help:"Name of the host." required:""`
	RunMs     int64  `help:"Milliseconds that a call takes." default:"5"`
	RestartMs int64  `help:"Milliseconds between two incarnations." default:"100"`
	Seed      uint64 `help:"Seed of the faults." default:"1"`
}

// Run serves the stub of the plain service until it receives a signal.
func (c *serviceCommand) Run() error {
	stub := service.New(service.Options{
		Host: c.Host, RunTime: millis(c.RunMs), RestartDelay: millis(c.RestartMs), Seed: c.Seed, Warmth: c.limits(),
	})
	return serve.Run(os.Stdout, c.Listen, stub.Handler(), stub.Hooks())
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
