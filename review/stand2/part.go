package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	badPart         = "bad0cafe"
	partDeadline    = 5 * time.Second
	partDaemons     = 4
	soundPerSecond  = 20
	badPerSecond    = 4
	partPlay        = 100 * time.Second // of the whole case
	partRestartGap  = 11 * time.Second
	partCrashes     = 5 // after which the rule counts
	partMaxArrivals = 3
)

// crashingPart sends requests with a part of the prompt that crashes each server that begins to answer it, and sound
// ones that share their other parts. The disruption: daemons are stopped and started in turn, one at a time.
func crashingPart(w *world, trouble bool) (string, error) {
	var err error
	if w.site, err = site.New(site.Timing{LoadTime: 400 * time.Millisecond, WarmLoadTime: 100 * time.Millisecond, OpenTime: 20 * time.Millisecond, EventInterval: 20 * time.Millisecond, StallTimeout: 5 * time.Second}); err != nil {
		return "", err
	}
	if err := w.addEngines(); err != nil {
		return "", err
	}
	w.site.Configure(1, 0)
	for range partDaemons {
		if _, err := w.addDaemon(w.site.Store.Address); err != nil {
			return "", err
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), partPlay)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { w.balance(ctx) })
	serves := func() bool {
		d := w.pick()
		return d != nil && w.chat(ctx, d, newID("warm"), false).Status == http.StatusOK
	}
	if !waitFor(15*time.Second, serves) {
		return "", fmt.Errorf("the deployment does not serve")
	}
	time.Sleep(5 * time.Second)
	w.record.line("the deployment serves; requests begin")
	w.site.AddCrasher(site.Crasher{
		Name: "part", Downtime: 2 * time.Second, EntryTTL: 3 * time.Second,
		Crashes: func(r *http.Request, _ string) bool { return strings.Contains(r.Header.Get("X-Prefix-Hash"), badPart) },
	})
	sentBy := newSenders()
	var sound, soundServed counter
	wg.Go(func() {
		every(ctx, time.Second/soundPerSecond, func(n int) {
			wg.Go(func() {
				if d := w.pick(); d != nil {
					sound.add()
					if a := w.chat(ctx, d, fmt.Sprintf("sound-%d", n), false); a.Status == http.StatusOK && a.Complete {
						soundServed.add()
					}
				}
			})
		})
	})
	wg.Go(func() {
		every(ctx, time.Second/badPerSecond, func(n int) {
			wg.Go(func() {
				if d := w.pick(); d != nil {
					id := fmt.Sprintf("bad-%d", n)
					sentBy.set(id, d)
					a := w.chat(ctx, d, id, true)
					w.record.line("%s at %s: status %d, complete %t", id, d.name, a.Status, a.Complete)
				}
			})
		})
	})
	wg.Go(func() { w.watchArrivals(ctx, sentBy) })
	if !waitFor(30*time.Second, func() bool { return len(w.site.Crashes()) >= partCrashes }) {
		w.record.line("only %d crashes so far", len(w.site.Crashes()))
	}
	sleep(ctx, stability+time.Second)
	for i := 0; trouble && ctx.Err() == nil; i++ {
		if deadline, _ := ctx.Deadline(); time.Until(deadline) < partRestartGap {
			break
		}
		next := time.Now().Add(partRestartGap)
		if err := w.restart(w.daemons[i%len(w.daemons)]); err != nil {
			return "", err
		}
		sleep(ctx, time.Until(next))
	}
	<-ctx.Done()
	crashes := w.site.Crashes()
	w.record.line("%d crashes; %d of %d sound requests were served whole", len(crashes), soundServed.n, sound.n)
	if len(crashes) < partCrashes {
		return "", nil
	}
	from := crashes[partCrashes-1].At.Add(stability)
	counted := 0
	for _, a := range sentBy.arrivals() {
		if a.at.After(from) && a.inTouch {
			counted++
			w.record.line("counted: %s reached %s from %s, %.1f s after the fifth crash, %.1f s after the daemon's start", a.request, a.server, a.daemon, a.at.Sub(crashes[partCrashes-1].At).Seconds(), a.sinceStart.Seconds())
		}
	}
	w.record.line("%d requests with the part reached servers, from machines in touch, later than %s after the fifth crash; %d are allowed", counted, stability, partMaxArrivals)
	if counted > partMaxArrivals {
		return fmt.Sprintf("BUDGET: %d requests with the part reached servers; %d are allowed", counted, partMaxArrivals), nil
	}
	return "", nil
}

// addEngines starts a domain of engines in each zone.
func (w *world) addEngines() error {
	for z, zone := range zones {
		for n := range 9 {
			if _, err := w.site.Add(fmt.Sprintf("i-%d-%d", z, n), site.LLM, zone, "domain-"+zone); err != nil {
				return err
			}
		}
	}
	return nil
}

// chat sends one request for a stream, with the part that crashes servers if bad.
func (w *world) chat(ctx context.Context, d *daemon, id string, bad bool) load.FrontedAnswer {
	further := ""
	if bad {
		further = badPart + ":10,"
	}
	return w.prompt(ctx, d, id, fmt.Sprintf("f00d:40,%s%x:50", further, rand.Uint32()))
}
