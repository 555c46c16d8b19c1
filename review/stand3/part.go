package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	crashPart   = "dead0bad" // the part of a prompt that crashes engines
	crashBack   = 3 * time.Second
	stability   = 3 * time.Second
	soundEvery  = time.Second
	crashEvery  = 333 * time.Millisecond
	calmTime    = 22 * time.Second
	crashTime   = 29 * time.Second
	shortStream = 10 // events
)

// sharedParts are the parts that sound requests and crashing ones have in common, in order.
var sharedParts = []string{"a1:40", "a2:200", "a3:120", "a4:80", "a5:60", "a6:90", "a7:70", "a8:50"}

// crashesOn reports whether a request has the crashing part other than as its last one.
func crashesOn(r *http.Request) bool {
	return strings.Contains(r.Header.Get("X-Prefix-Hash"), crashPart+":")
}

// crashed records a crash under a request, and carries it out.
func (g *rig) crashed(e *engine, id string) {
	g.mu.Lock()
	g.crashes = append(g.crashes, time.Now())
	n := len(g.crashes)
	g.mu.Unlock()
	g.rec.add("engine %s crashes under %s: crash %d", e.id, id, n)
	e.crash(crashBack)
}

// crashingPart sends sound requests all the while, and for some time requests with a part that crashes engines.
// Sound requests have all other parts in common with them.
func crashingPart(g *rig, trouble bool) (int, error) {
	chat := route("chat", "/chat/", "stream", engineService)
	chat["resumable"], chat["gapTargetMs"] = true, 300
	g.configure(1, []string{engineService}, chat)
	for i := range 40 {
		if err := g.addEngine(fmt.Sprintf("e-%d", i), fmt.Sprintf("domain-%d", i/10), shortStream); err != nil {
			return couldnt, err
		}
	}
	for range 3 {
		if err := g.addDaemon(); err != nil {
			return couldnt, err
		}
	}
	time.Sleep(13 * time.Second) // from then on a daemon has its part of the retries
	var clients sync.WaitGroup
	var mu sync.Mutex
	type sample struct {
		at    time.Time
		began bool
	}
	var sound []sample
	begin := time.Now()
	clients.Go(func() {
		time.Sleep(calmTime + soundEvery*6/10)
		for n := 0; trouble && time.Since(begin) < calmTime+crashTime; n++ {
			for i, d := range g.daemons {
				clients.Go(func() {
					id := fmt.Sprintf("x%d", 100+len(g.daemons)*n+i)
					g.prompt(d, id, append(slices.Clone(sharedParts), crashPart+":100", id[1:]+"e:300"))
				})
			}
			time.Sleep(crashEvery)
		}
	})
	for n := 0; time.Since(begin) < calmTime+crashTime; n++ {
		clients.Go(func() {
			at := time.Now()
			id := fmt.Sprintf("s%d", 100+n)
			a := g.prompt(g.daemons[n%len(g.daemons)], id, append(slices.Clone(sharedParts), id[1:]+"f:300"))
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, sample{at, a.status == 200})
		})
		time.Sleep(soundEvery)
	}
	end := time.Now()
	clients.Wait()
	g.mu.Lock()
	from := begin.Add(calmTime + 2*stability)
	if n := len(g.crashes); n > 0 {
		from = g.crashes[min(n, 5)-1].Add(2 * stability)
	}
	g.rec.add("%d crashes", len(g.crashes))
	g.mu.Unlock()
	var calm, later, calmBegan, laterBegan int
	for _, s := range sound {
		switch {
		case s.at.Before(begin.Add(calmTime)):
			calm++
			if s.began {
				calmBegan++
			}
		case s.at.After(from) && s.at.Before(end):
			later++
			if s.began {
				laterBegan++
			}
		}
	}
	g.rec.add("sound requests before: %d, of which %d began; from 2 x stabilityMs after the fifth crash on: %d, of which %d began", calm, calmBegan, later, laterBegan)
	if calm < 20 || later < 20 || calmBegan*2 < calm {
		return couldnt, errors.New("too few sound requests")
	}
	if laterBegan*calm*2 < calmBegan*later {
		return broken, nil
	}
	return held, nil
}

// prompt sends a request for a stream on a prompt.
func (g *rig) prompt(d *daemon, id string, parts []string) answer {
	header := fmt.Sprintf("X-Model: %s\r\nX-Token-Count: 1000,70\r\nX-Prefix-Hash: %s\r\n", engineModel, strings.Join(parts, ","))
	return g.send(d, "POST", "/chat/1", id, header, "a prompt "+id)
}
