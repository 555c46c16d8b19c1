package soak

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// Within any retryWindow, each service gets at most retryShare of its requests plus retrySlack arrivals beyond the first
// of each request, those that its servers reject included. The requests are those that callers sent in that window, in
// the one before it or in the one half a window earlier, whichever are most.
const (
	retryWindow = 10 * time.Second
	retryShare  = 0.1
	retrySlack  = 50
)

// service returns the service that the route of a request leads to.
func (c *call) service() string {
	if c.Kind == chat {
		return site.LLM
	}
	return site.Ledger
}

// checkRetryBudget checks the arrivals at the servers of each service, over all daemons.
func (k *checker) checkRetryBudget(arrivals []site.Arrival) {
	k.mu.Lock()
	defer k.mu.Unlock()
	sent := make(map[string][]time.Time)
	for _, c := range k.calls {
		sent[c.service()] = append(sent[c.service()], c.SentAt)
	}
	arrived := make(map[string]bool)
	repeats := make(map[string][]time.Time)
	for _, a := range arrivals {
		if a.Report || k.calls[a.Request] == nil {
			continue
		}
		if arrived[a.Request] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
		arrived[a.Request] = true
	}
	for service, times := range repeats {
		requests := sent[service]
		slices.SortFunc(requests, time.Time.Compare)
		slices.SortFunc(times, time.Time.Compare)
		for _, from := range times {
			n := countFrom(times, from)
			most := max(countFrom(requests, from.Add(-retryWindow)), countFrom(requests, from.Add(-retryWindow/2)), countFrom(requests, from))
			if float64(n) > retryShare*float64(most)+retrySlack {
				k.addFindingLocked("budget", "%s got %d arrivals beyond the first in %s, with %d requests", service, n, retryWindow, most)
				break
			}
		}
	}
}

// countFrom counts the sorted times in the retryWindow that begins at a time.
func countFrom(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return end - first
}
