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
	sharedParts     = 12 // of the sound prompts, before the part of their own
	sharedBefore    = 30 * time.Second
	sharedAfter     = 33 * time.Second // requests that crash servers come for so long
	sharedInterval  = time.Second      // between two sound requests
	sharedMinSample = 20
)

// soundCall is one sound request and whether it began to be answered at its first attempt.
type soundCall struct {
	at    time.Time
	began bool
}

// sharedPrompts sends sound requests that share the parts of a prompt. The disruption: requests come with one more
// part, which crashes each server that begins to answer it.
func sharedPrompts(w *world, trouble bool) (string, error) {
	var err error
	if w.site, err = site.New(site.Timing{LoadTime: 400 * time.Millisecond, WarmLoadTime: 100 * time.Millisecond, OpenTime: 20 * time.Millisecond, EventInterval: 20 * time.Millisecond, StallTimeout: 5 * time.Second}); err != nil {
		return "", err
	}
	if err := w.addEngines(); err != nil {
		return "", err
	}
	w.site.Configure(1, 0)
	for range 3 {
		if _, err := w.addDaemon(w.site.Store.Address); err != nil {
			return "", err
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 110*time.Second)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { w.balance(ctx) })
	if !waitFor(15*time.Second, func() bool {
		d := w.pick()
		return d != nil && w.chat(ctx, d, newID("warm"), false).Status == http.StatusOK
	}) {
		return "", fmt.Errorf("the deployment does not serve")
	}
	time.Sleep(5 * time.Second)
	w.site.AddCrasher(site.Crasher{
		Name: "part", Downtime: 2 * time.Second, EntryTTL: 3 * time.Second,
		Crashes: func(r *http.Request, _ string) bool { return strings.Contains(r.Header.Get("X-Prefix-Hash"), badPart) },
	})
	var mu sync.Mutex
	var sound []soundCall
	sendBad := func() {
		if d := w.pick(); d != nil {
			id := newID("bad")
			a := w.prompt(ctx, d, id, sharedPrompt(true))
			w.record.line("%s at %s: status %d", id, d.name, a.Status)
		}
	}
	begin := time.Now()
	troubleAt := begin.Add(sharedBefore)
	wg.Go(func() {
		every(ctx, sharedInterval, func(int) {
			wg.Go(func() {
				d := w.pick()
				if d == nil || !d.inTouch() {
					return
				}
				id, at := newID("sound"), time.Now()
				a := w.prompt(ctx, d, id, sharedPrompt(false))
				w.record.line("%s at %s: status %d, complete %t %s", id, d.name, a.Status, a.Complete, errorCode(a.Body))
				mu.Lock()
				defer mu.Unlock()
				sound = append(sound, soundCall{at, a.Status == http.StatusOK})
			})
		})
	})
	if trouble {
		// Sound requests come at whole seconds after begin.
		sleep(ctx, time.Until(troubleAt.Add(600*time.Millisecond)))
		wg.Go(sendBad)
		sleep(ctx, 300*time.Millisecond)
		wg.Go(sendBad)
		wg.Go(func() { every(ctx, time.Second/2, func(int) { wg.Go(sendBad) }) })
	}
	sleep(ctx, time.Until(troubleAt.Add(sharedAfter)))
	stop()
	wg.Wait()
	crashes := w.site.Crashes()
	for _, c := range crashes {
		w.record.line("%s crashed under %s at %.3f s", c.Server, c.Request, c.At.Sub(w.record.begin).Seconds())
	}
	from := troubleAt.Add(2 * stability)
	if n := min(len(crashes), 5); n > 0 {
		from = crashes[n-1].At.Add(2 * stability)
	}
	calm, calmBegan := count(sound, begin, troubleAt)
	after, afterBegan := count(sound, from, time.Now())
	w.record.line("before the first such request %d of %d sound requests began at their first attempt; from 2 x %s after the crash that counts %d of %d", calmBegan, calm, stability, afterBegan, after)
	if calm < sharedMinSample || after < sharedMinSample {
		return "", fmt.Errorf("too few sound requests: %d before, %d after", calm, after)
	}
	if 2*afterBegan*calm < after*calmBegan {
		return fmt.Sprintf("LOST: %d of %d sound requests began at their first attempt, before that %d of %d", afterBegan, after, calmBegan, calm), nil
	}
	return "", nil
}

func count(calls []soundCall, from, to time.Time) (n, began int) {
	for _, c := range calls {
		if c.at.Before(from) || c.at.After(to) {
			continue
		}
		n++
		if c.began {
			began++
		}
	}
	return n, began
}

// sharedPrompt returns the parts of a prompt: those that all share, one of its own, and if bad the one that crashes
// servers in the middle.
func sharedPrompt(bad bool) string {
	var b strings.Builder
	for n := range sharedParts {
		if bad && n == sharedParts/2 {
			b.WriteString(badPart + ":10,")
		}
		fmt.Fprintf(&b, "a%02x:20,", n)
	}
	fmt.Fprintf(&b, "%x:30", rand.Uint32())
	return b.String()
}

// prompt sends one request for a stream with a prompt.
func (w *world) prompt(ctx context.Context, d *daemon, id, parts string) load.FrontedAnswer {
	ctx, cancel := context.WithTimeout(ctx, partDeadline+time.Second)
	defer cancel()
	h := header(id, partDeadline)
	h["X-Model"], h["X-Token-Count"], h["X-Prefix-Hash"] = site.Model, "300,12", parts
	return w.caller.Send(ctx, d.callers(), load.FrontedCall{Method: http.MethodPost, Host: site.Host, Path: "/chat/" + id, Body: "body of " + id, Header: h})
}
