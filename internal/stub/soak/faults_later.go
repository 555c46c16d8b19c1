package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	// leavingDuration is how long a server says that it leaves before it ends. It starts again
	// after entryTTL.
	leavingDuration = 6 * time.Second
	// maxQuiet bounds for how long a server asks for no requests.
	maxQuiet = 6 * time.Second
	// maxCopyAge bounds the age of the copy from which the store comes back, counted from when
	// it went away. maxRewriteDelay bounds the time until operators and servers have written
	// again what was lost.
	maxCopyAge      = 6 * time.Second
	maxRewriteDelay = 1500 * time.Millisecond
)

// laterCatalogue has the kinds of disturbances that were added to catalogue; see Draw.
var laterCatalogue = []kindSpec{
	{ServerLeaving, false, time.Second, func(r *run, f Fault) func() {
		v := r.pickServer(f)
		v.Leave()
		r.runAfter(leavingDuration, func() {
			r.recordDuring(scopeServers, func() { v.Crash(entryTTL) }, func() { r.restart(v) })()
		})
		return nil
	}},
	{ServerQuiet, false, 4 * time.Second, func(r *run, f Fault) func() {
		v := r.pickServer(f)
		quiet := time.Duration(1 + f.Pick%uint64(maxQuiet))
		return r.recordDuring(scopeServers, func() { v.SetQuiet(quiet) }, func() { v.SetQuiet(0) })
	}},
	{StoreRestore, false, 2 * time.Second, func(r *run, f Fault) func() {
		s := r.timeline.begin(scopeStore, false)
		r.site.Store.SetFaults(site.StoreFaults{Status: http.StatusServiceUnavailable})
		return func() { r.restoreStore(f, s) }
	}},
}

// restoreStore lets the store come back from an older copy, then makes the writes of operators
// and servers that were lost again, in any order.
func (r *run) restoreStore(f Fault, s *disturbance) {
	lost := r.site.Store.Restore(f.Duration + time.Duration(f.Pick%uint64(maxCopyAge)))
	r.site.Store.SetFaults(site.StoreFaults{})
	draw := rand.New(rand.NewPCG(f.Pick, 0))
	draw.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, w := range lost {
		time.Sleep(time.Duration(draw.Int64N(int64(maxRewriteDelay)/int64(len(lost)) + 1)))
		r.site.Store.Rewrite(w)
	}
	r.timeline.end(s)
}
