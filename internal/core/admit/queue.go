// Package admit queues the requests that wait for a free slot at a target of one model or
// service.
//
// The request with the highest priority is served first, and a request's priority rises while
// it waits. Among customers whose first requests have equal priority, service is divided by
// weighted fair queueing: each customer has a virtual finish time that grows with the cost of
// its served requests, divided by its weight, and the customer with the smallest one is served
// next. Requests of one customer are served in order of arrival.
//
// A request that probably can't complete before its deadline is refused at once, or removed from
// the queue as soon as that becomes clear.
package admit

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// Settings configure a Queue.
type Settings struct {
	// MaxLength bounds the number of waiting requests. Further requests are refused.
	MaxLength int
	// AgingInterval is the wait after which a request's priority rises by one.
	AgingInterval time.Duration
}

// Defaults returns the settings that are used unless others are configured.
func Defaults() Settings { return Settings{MaxLength: 1024, AgingInterval: 2 * time.Second} }

// Item is one waiting request.
type Item struct {
	ID        step.RequestID
	Customer  string
	Priority  int           // a higher priority is served first
	Weight    int           // the customer's weight in the fair share; below 1 counts as 1
	ArrivedAt time.Duration // monotonic, as is Deadline
	Deadline  time.Duration
	Cost      float64 // estimated tokens, which the fair share charges to the customer
}

// customerQueue holds one customer's waiting requests in order of arrival.
type customerQueue struct {
	items []Item
	// virtualFinish is the virtual time at which the customer's last served request finishes.
	virtualFinish float64
}

// Queue holds the requests that wait for one model or service.
type Queue struct {
	set        Settings
	byCustomer map[string]*customerQueue
	customers  []string // customers with waiting requests, sorted
	size       int
	// virtualTime is the largest virtual finish time that a customer had when one of its
	// requests was served. A customer that was idle starts from it.
	virtualTime float64
	estimator   estimator
}

// NewQueue returns an empty queue.
func NewQueue(set Settings) *Queue {
	return &Queue{set: set, byCustomer: make(map[string]*customerQueue)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// RecordRunTime adds the run time of a completed request to the estimate.
func (q *Queue) RecordRunTime(runTime time.Duration) { q.estimator.record(runTime) }

// EstimateWait estimates how long a new request of a priority would wait for one of the slots.
func (q *Queue) EstimateWait(now step.Time, priority, slots int) time.Duration {
	ahead := 0
	for _, name := range q.customers {
		for _, it := range q.byCustomer[name].items {
			if q.effectivePriority(now, it) >= priority {
				ahead++
			}
		}
	}
	return q.estimator.wait(ahead, slots)
}

// Push queues a request for one of the slots. If the queue is full or the deadline can't be
// met, it reports false and the delay after which a retry may succeed.
func (q *Queue) Push(now step.Time, it Item, slots int) (retryAfter time.Duration, ok bool) {
	if q.size >= q.set.MaxLength {
		return max(q.estimator.wait(q.size, slots), time.Second), false
	}
	wait := q.EstimateWait(now, it.Priority, slots)
	if now.Mono+wait+q.estimator.runTime() > it.Deadline {
		return max(wait, time.Second), false
	}
	q.insert(it, func(other Item) bool { return other.ArrivedAt > it.ArrivedAt })
	return 0, true
}

// PutBack returns a popped request that found no free slot to its old position, and refunds the
// cost that Pop charged for it. Several requests must be put back in the reverse of the order in
// which they were popped.
func (q *Queue) PutBack(it Item) {
	cq := q.insert(it, func(other Item) bool { return other.ArrivedAt >= it.ArrivedAt })
	cq.virtualFinish -= it.virtualCost()
}

// virtualCost is the cost of the request divided by its customer's weight.
func (it Item) virtualCost() float64 { return it.Cost / float64(max(it.Weight, 1)) }

// insert adds a request to its customer's queue. Starting from the end, it moves the request
// before every other request for which ahead reports true.
func (q *Queue) insert(it Item, ahead func(other Item) bool) *customerQueue {
	cq := q.byCustomer[it.Customer]
	if cq == nil {
		cq = &customerQueue{}
		q.byCustomer[it.Customer] = cq
	}
	if len(cq.items) == 0 {
		at, _ := slices.BinarySearch(q.customers, it.Customer)
		q.customers = slices.Insert(q.customers, at, it.Customer)
		// A customer that was idle starts at the current virtual time, so that it gets no credit
		// for the time without requests.
		cq.virtualFinish = max(cq.virtualFinish, q.virtualTime)
	}
	at := len(cq.items)
	for at > 0 && ahead(cq.items[at-1]) {
		at--
	}
	cq.items = slices.Insert(cq.items, at, it)
	q.size++
	return cq
}

// Pop removes and returns the next request to serve, and charges its cost to its customer. It
// reports false if the queue is empty.
func (q *Queue) Pop(now step.Time) (Item, bool) {
	best := ""
	bestPriority := -1
	bestFinish := 0.0
	for _, name := range q.customers {
		cq := q.byCustomer[name]
		priority := q.effectivePriority(now, cq.items[0])
		if priority > bestPriority || priority == bestPriority && cq.virtualFinish < bestFinish {
			best, bestPriority, bestFinish = name, priority, cq.virtualFinish
		}
	}
	if best == "" {
		return Item{}, false
	}
	cq := q.byCustomer[best]
	it := cq.items[0]
	q.removeAt(best, cq, 0)
	q.virtualTime = max(q.virtualTime, cq.virtualFinish)
	cq.virtualFinish += it.virtualCost()
	return it, true
}

// effectivePriority is the priority of a request, raised by one for each AgingInterval waited.
func (q *Queue) effectivePriority(now step.Time, it Item) int {
	return it.Priority + int((now.Mono-it.ArrivedAt)/q.set.AgingInterval)
}

// Remove removes a request that has ended, such as one whose caller closed the connection. It
// reports false if the request is not in the queue.
func (q *Queue) Remove(customer string, id step.RequestID) bool {
	cq := q.byCustomer[customer]
	if cq == nil {
		return false
	}
	at := slices.IndexFunc(cq.items, func(it Item) bool { return it.ID == id })
	if at < 0 {
		return false
	}
	q.removeAt(customer, cq, at)
	return true
}

// Expired removes and returns the requests that can no longer complete before their deadline,
// sorted by customer and arrival.
func (q *Queue) Expired(now step.Time) []Item {
	var expired []Item
	for _, name := range slices.Clone(q.customers) {
		cq := q.byCustomer[name]
		for i := 0; i < len(cq.items); {
			if now.Mono+q.estimator.runTime() <= cq.items[i].Deadline {
				i++
				continue
			}
			expired = append(expired, cq.items[i])
			q.removeAt(name, cq, i)
		}
	}
	return expired
}

func (q *Queue) removeAt(name string, cq *customerQueue, at int) {
	cq.items = slices.Delete(cq.items, at, at+1)
	q.size--
	if len(cq.items) > 0 {
		return
	}
	i, _ := slices.BinarySearch(q.customers, name)
	q.customers = slices.Delete(q.customers, i, i+1)
}
