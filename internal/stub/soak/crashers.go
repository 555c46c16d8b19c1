package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	// CrashingRequest is one request that crashes each server that begins to answer it, and that
	// callers send again and again to any daemon.
	CrashingRequest Kind = "crashing-request"
	// CrashingPart is a part of prompts that crashes each server that begins to answer a request
	// with it, whatever else the request has. Sound requests have the same first parts.
	CrashingPart Kind = "crashing-part"
	// CrashingBurst is one request that crashes servers and comes to several daemons at once. All
	// servers of a service may crash within a moment, and are down for longer.
	CrashingBurst Kind = "crashing-burst"
	// ServerEndless is a server that sends bytes without end instead of answers. ServerUnframed is
	// one whose answers end with their connections, some streams in the middle of an event.
	ServerEndless  Kind = "server-endless"
	ServerUnframed Kind = "server-unframed"

	// The request is sent every minCrashInterval to maxCrashInterval. A server is down for
	// minDowntime to maxDowntime.
	minCrashInterval, maxCrashInterval = 30 * time.Millisecond, 400 * time.Millisecond
	minDowntime, maxDowntime           = 200 * time.Millisecond, 2 * time.Second
	// In a burst, up to maxCallsInBurst requests come within burstSpread, and the next burst
	// minBurstInterval to maxBurstInterval later. Servers are down for up to maxBurstDowntime.
	maxCallsInBurst                    = 6
	burstSpread                        = 150 * time.Millisecond
	minBurstInterval, maxBurstInterval = 300 * time.Millisecond, 5 * time.Second
	maxBurstDowntime                   = 4 * time.Second
	// After so many crashes and propagation, at most maxSentAfterVerdict further requests may
	// reach servers from daemons that are not disturbed.
	crashesOfRequest    = 3
	crashesOfPart       = 5
	verdictPropagation  = 3 * time.Second
	maxSentAfterVerdict = 3
	// From soundServedAfter after the last of these crashes on, less than half of the sound requests
	// with the same first parts may be refused for the part, if there are minSoundRequests.
	soundServedAfter = 2 * verdictPropagation
	minSoundRequests = 20
	// firstParts is the number of first parts of prompts.
	firstParts = 3
)

// promptParts returns the parts of the prompt of a chat request: a first part that many share,
// further ones, and one of its own.
func promptParts(id string, further string) string {
	h := rendezvous.Hash(id)
	return fmt.Sprintf("f%d:40%s,%x:60", h%firstParts, further, h)
}

// crashCatalogue has the kinds of requests that crash servers; see Draw.
var crashCatalogue = []kindSpec{
	{CrashingRequest, false, 9 * time.Second, func(r *run, f Fault) func() {
		name := fmt.Sprintf("crash-%x", f.Pick)
		kind := []callKind{chat, write, read}[f.Pick%3]
		path, body := fmt.Sprintf("/%s/%s?q=%%2F", kind, name), "body of "+name
		return r.sendCrashers(f, singly, &crasher{name: name, bound: crashesOfRequest}, func(req *http.Request, b string) bool { return req.URL.RequestURI() == path && b == body },
			func() *call { return &call{ID: newCallID(kind), Kind: kind, Path: path, Body: body} })
	}},
	{CrashingPart, false, 16 * time.Second, func(r *run, f Fault) func() {
		part := fmt.Sprintf(",%x:10,", f.Pick)
		return r.sendCrashers(f, singly, &crasher{name: "crash" + part, bound: crashesOfPart, sharesParts: true},
			func(req *http.Request, _ string) bool { return strings.Contains(req.Header.Get("X-Prefix-Hash"), part) },
			func() *call {
				id := newCallID(chat)
				return &call{ID: id, Kind: chat, Path: "/chat/" + id, Body: "body of " + id, Parts: promptParts(id, strings.TrimSuffix(part, ","))}
			})
	}},
}

// crashBurstCatalogue has requests that crash servers in bursts.
var crashBurstCatalogue = []kindSpec{
	{CrashingBurst, false, 16 * time.Second, func(r *run, f Fault) func() {
		name := fmt.Sprintf("burst-%x", f.Pick)
		kind := []callKind{write, read}[f.Pick%2]
		path, body := fmt.Sprintf("/%s/%s", kind, name), "body of "+name
		return r.sendCrashers(f, inBursts, &crasher{name: name, bound: crashesOfRequest}, func(req *http.Request, b string) bool { return req.URL.RequestURI() == path && b == body },
			func() *call { return &call{ID: newCallID(kind), Kind: kind, Path: path, Body: body} })
	}},
}

// crashPace is how requests that crash servers come.
type crashPace struct {
	minInterval, maxInterval time.Duration // between two of them, or two bursts
	maxAtOnce                int
	maxDowntime              time.Duration // of a server
}

var (
	singly   = crashPace{minCrashInterval, maxCrashInterval, 1, maxDowntime}
	inBursts = crashPace{minBurstInterval, maxBurstInterval, maxCallsInBurst, maxBurstDowntime}
)

// answerCatalogue has the kinds of answers that are none, or that are framed in another way.
var answerCatalogue = []kindSpec{
	{ServerEndless, false, 4 * time.Second, func(r *run, f Fault) func() {
		parts := []site.Endless{site.EndlessHead, site.EndlessBody, site.EndlessEvent, site.EndlessRefusal}
		return r.failServer(f, site.Faults{Endless: parts[f.Pick%uint64(len(parts))]})
	}},
	{ServerUnframed, false, 6 * time.Second, func(r *run, f Fault) func() {
		return r.failServer(f, site.Faults{Unframed: true, BreakInEvent: int(f.Pick % (2 * site.Events))})
	}},
}

// crasher is a kind of request that crashes servers, with the number of crashes after which
// daemons must refuse it.
type crasher struct {
	name  string
	bound int
	// sharesParts is set if sound requests have parts of the crashing ones, and may be refused for a
	// while.
	sharesParts bool
}

// sendCrashers lets requests crash servers and sends such requests until the returned function is
// called. newCall returns the next request without its ID.
func (r *run) sendCrashers(f Fault, pace crashPace, c *crasher, crashes func(*http.Request, string) bool, newCall func() *call) func() {
	draw := rand.New(rand.NewPCG(f.Pick, 1))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(draw.Int64N(int64(most-least)))
	}
	s := r.timeline.begin(scopeServers, false)
	r.checker.recordCrasher(c)
	remove := r.site.AddCrasher(site.Crasher{
		Name: c.name, Crashes: crashes, Downtime: between(minDowntime, pace.maxDowntime), EntryTTL: entryTTL, Silent: f.Pick%4 == 0,
	})
	ctx, stop := context.WithCancel(context.Background())
	r.background.Go(func() {
		for sleepContext(ctx, between(pace.minInterval, pace.maxInterval)) {
			atOnce := 1
			if pace.maxAtOnce > 1 {
				atOnce += draw.IntN(pace.maxAtOnce)
			}
			for range atOnce {
				d, next := r.daemons[draw.IntN(len(r.daemons))], newCall()
				next.crasher = c.name
				r.background.Go(func() { r.sendPrepared(context.Background(), d, next, 0) })
				if atOnce > 1 {
					sleepContext(ctx, between(0, burstSpread/time.Duration(pace.maxAtOnce)))
				}
			}
		}
	})
	return func() {
		stop()
		remove()
		r.runAfter(pace.maxDowntime, func() { r.timeline.end(s) })
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
	crashesOf := make(map[string][]time.Time)
	for _, crash := range crashes {
		crashesOf[crash.Crasher] = append(crashesOf[crash.Crasher], crash.At)
	}
	k.checkSoundServed(crashesOf)
	for _, x := range k.crashers {
		at := crashesOf[x.name]
		slices.SortFunc(at, time.Time.Compare)
		if len(at) < x.bound {
			continue
		}
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

// checkSoundServed checks that not too many sound requests are refused for a part that they share
// with crashing ones, as long as such requests come. It judges requests that were sent
// soundServedAfter or more after the first crashes of each crasher that had begun. The caller holds
// mu.
func (k *checker) checkSoundServed(crashesOf map[string][]time.Time) {
	var unsettled [][2]time.Time
	firstCrash := time.Now()
	for _, x := range k.crashers {
		at := crashesOf[x.name]
		if !x.sharesParts || len(at) == 0 {
			continue
		}
		slices.SortFunc(at, time.Time.Compare)
		unsettled = append(unsettled, [2]time.Time{at[0], at[min(len(at), x.bound)-1].Add(soundServedAfter)})
		if at[0].Before(firstCrash) {
			firstCrash = at[0]
		}
	}
	sent, refused := 0, 0
	for _, c := range k.calls {
		if c.Kind != chat || c.crasher != "" || c.EndedAt.IsZero() || c.SentAt.Before(firstCrash) || !k.inTouch(c.Daemon, firstCrash, c.EndedAt) {
			continue
		}
		if slices.ContainsFunc(unsettled, func(t [2]time.Time) bool { return c.EndedAt.After(t[0]) && c.SentAt.Before(t[1]) }) {
			continue
		}
		sent++
		if wasQuarantined(c) {
			refused++
		}
	}
	if sent >= minSoundRequests && 2*refused > sent {
		k.addFindingLocked("sound", "most sound requests are refused for their parts, from %s after the first crashes on", soundServedAfter)
	}
}

func wasQuarantined(c *call) bool { return strings.Contains(c.Answer.Body, `"quarantined"`) }

// inTouch reports whether a daemon must know what others have found out since the first crash. A
// disturbance of the store alone does not excuse it if no daemon was disturbed since.
func (k *checker) inTouch(daemon int, firstCrash, at time.Time) bool {
	if k.timeline.undisturbed(daemon, at, at, false) {
		return true
	}
	return !k.timeline.daemonsDisturbed(firstCrash, at)
}

// checkQuarantined checks that a refusal as a request that crashes servers meets no request that
// shares nothing with one. The caller holds mu.
func (k *checker) checkQuarantined(c *call) {
	mayShare := c.Kind == chat && slices.ContainsFunc(k.crashers, func(x *crasher) bool { return x.sharesParts })
	if c.crasher == "" && !mayShare && wasQuarantined(c) {
		k.addFindingLocked("sound", "%s was refused as a request that crashes servers", c.ID)
	}
}
