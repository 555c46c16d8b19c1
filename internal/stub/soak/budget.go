package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	// budgetOverage times the retry budget is what a service may get: while daemons restart, two processes
	// share a budget, and exceed it by at most a quarter.
	budgetOverage = 1.25
	// budgetLead is how long before a retryWindow the requests may have been sent that count in it.
	budgetLead = time.Second
)

// checkServiceBudget checks for each service the number of arrivals beyond the first of each request in any
// retryWindow, whether a server ran or refused them.
func (k *checker) checkServiceBudget(arrivals []site.Arrival) {
	k.mu.Lock()
	defer k.mu.Unlock()
	repeats, sent := make(map[string][]time.Time), make(map[string][]time.Time)
	seen := make(map[string]bool)
	for _, a := range arrivals {
		if a.Report || k.calls[a.Request] == nil {
			continue
		}
		if service, _, _ := strings.Cut(a.Server, "-"); seen[a.Request] {
			repeats[service] = append(repeats[service], a.At)
		}
		seen[a.Request] = true
	}
	for _, c := range k.calls {
		service := site.Ledger
		if c.Kind == chat {
			service = site.LLM
		}
		sent[service] = append(sent[service], c.SentAt)
	}
	for service, at := range repeats {
		slices.SortFunc(at, time.Time.Compare)
		slices.SortFunc(sent[service], time.Time.Compare)
		for i, from := range at {
			n := before(at, from.Add(retryWindow)) - i
			if n <= retrySlack {
				continue
			}
			requests := before(sent[service], from.Add(retryWindow)) - before(sent[service], from.Add(-budgetLead))
			if float64(n) > budgetOverage*(retryShare*float64(requests)+retrySlack) {
				k.addFindingLocked("service budget", "%d arrivals at %s were repeats in the %s from %s on, with %d requests",
					n, service, retryWindow, from.Sub(k.startedAt).Round(time.Millisecond), requests)
				break // one for each service and check
			}
		}
	}
}

// before returns how many of the sorted times are before another.
func before(sorted []time.Time, end time.Time) int {
	n, _ := slices.BinarySearchFunc(sorted, end, time.Time.Compare)
	return n
}
