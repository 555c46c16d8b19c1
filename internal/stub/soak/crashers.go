package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	// CrashingRequest is one request that crashes each server that begins to answer it, and that
	// callers send again and again to any daemon.
	CrashingRequest Kind = "crashing-request"

	// The request is sent every minCrashInterval to maxCrashInterval. A server is down for
	// minDowntime to maxDowntime.
	minCrashInterval, maxCrashInterval = 30 * time.Millisecond, 400 * time.Millisecond
	minDowntime, maxDowntime           = 200 * time.Millisecond, 2 * time.Second
	// After so many crashes and propagation, at most maxSentAfterVerdict further requests may
	// reach servers from daemons that are not disturbed.
	crashesOfRequest    = 3
	verdictPropagation  = 3 * time.Second
	maxSentAfterVerdict = 3
)

// crashCatalogue has the kinds of requests that crash servers; see Draw.
var crashCatalogue = []kindSpec{
	{CrashingRequest, false, 9 * time.Second, func(r *run, f Fault) func() {
		name := fmt.Sprintf("crash-%x", f.Pick)
		kind := []callKind{chat, write, read}[f.Pick%3]
		path, body := fmt.Sprintf("/%s/%s?q=%%2F", kind, name), "body of "+name
		return r.sendCrashers(f, &crasher{name: name, bound: crashesOfRequest}, func(req *http.Request, b string) bool { return req.URL.RequestURI() == path && b == body },
			func() *call { return &call{Kind: kind, Path: path, Body: body} })
	}},
}

// crasher is a kind of request that crashes servers, with the number of crashes after which
// daemons must refuse it.
type crasher struct {
	name  string
	bound int
}

// sendCrashers lets requests crash servers and sends such requests until the returned function is
// called. newCall returns the next request without its ID.
func (r *run) sendCrashers(f Fault, c *crasher, crashes func(*http.Request, string) bool, newCall func() *call) func() {
	draw := rand.New(rand.NewPCG(f.Pick, 1))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(draw.Int64N(int64(most-least)))
	}
	s := r.timeline.begin(scopeServers, false)
	r.checker.recordCrasher(c)
	remove := r.site.AddCrasher(site.Crasher{
		Name: c.name, Crashes: crashes, Downtime: between(minDowntime, maxDowntime), EntryTTL: entryTTL, Silent: f.Pick%4 == 0,
	})
	ctx, stop := context.WithCancel(context.Background())
	r.background.Go(func() {
		for sleepContext(ctx, between(minCrashInterval, maxCrashInterval)) {
			d, next := r.daemons[draw.IntN(len(r.daemons))], newCall()
			next.crasher = c.name
			r.background.Go(func() { r.sendPrepared(context.Background(), d, next, 0) })
		}
	})
	return func() {
		stop()
		remove()
		r.runAfter(maxDowntime, func() { r.timeline.end(s) })
	}
}

func (k *checker) recordCrasher(c *crasher) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.crashers = append(k.crashers, c)
}

// checkCrashers checks that requests that crash servers stop reaching them.
func (k *checker) checkCrashers(crashes []site.Crash, arrivals []site.Arrival) {
	k.mu.Lock()
	defer k.mu.Unlock()
	sent := make(map[string][]site.Arrival)
	for _, a := range arrivals {
		if c := k.calls[a.Request]; c != nil && c.crasher != "" {
			sent[c.crasher] = append(sent[c.crasher], a)
		}
	}
	for _, x := range k.crashers {
		var at []time.Time
		for _, crash := range crashes {
			if crash.Crasher == x.name {
				at = append(at, crash.At)
			}
		}
		if len(at) < x.bound {
			continue
		}
		slices.SortFunc(at, time.Time.Compare)
		from, n := at[x.bound-1].Add(verdictPropagation), 0
		for _, a := range sent[x.name] {
			if a.At.After(from) && k.inTouch(k.calls[a.Request].Daemon, at[0], a.At) {
				n++
			}
		}
		if n > maxSentAfterVerdict {
			k.addFindingLocked("crashing", "requests of %s reached servers more than %d times from %s after crash %d on", x.name, maxSentAfterVerdict, verdictPropagation, x.bound)
		}
	}
}

// inTouch reports whether a daemon must know what others have found out since the first crash. A
// disturbance of the store alone does not excuse it if no daemon was disturbed since.
func (k *checker) inTouch(daemon int, firstCrash, at time.Time) bool {
	if k.timeline.undisturbed(daemon, at, at, false) {
		return true
	}
	return !k.timeline.daemonsDisturbed(firstCrash, at)
}

// checkQuarantined checks that a refusal as a request that crashes servers meets no other.
func (k *checker) checkQuarantined(c *call) {
	if c.crasher == "" && strings.Contains(c.Answer.Body, `"quarantined"`) {
		k.addFindingLocked("sound", "%s was refused as a request that crashes servers", c.ID)
	}
}
