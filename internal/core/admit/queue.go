// Package admit orders the requests that wait for a free place at a target: by
// priority with aging, and by weighted fair share among customers of equal
// priority. It refuses at once what can't be served before its deadline.
package admit

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// Settings bound one queue.
type Settings struct {
	// Length is the number of requests that may wait.
	Length int
	// Aging is the wait that is worth one step of priority.
	Aging time.Duration
}

// Defaults returns the settings used where none are given.
func Defaults() Settings { return Settings{Length: 1024, Aging: 2 * time.Second} }

// Item is one waiting request.
type Item struct {
	ID       step.RequestID
	Customer string
	Priority int
	Weight   int
	Queued   time.Duration // when it came
	Deadline time.Duration
	Cost     float64 // share of service it takes, in tokens
}

// line is one customer's requests in order of arrival.
type line struct {
	items []Item
	// finish is the virtual time at which the customer's last served work ends.
	finish float64
}

// Queue holds the requests that wait for one model or service.
type Queue struct {
	set   Settings
	lines map[string]*line
	names []string // customers with waiting requests, sorted
	size  int
	// virtual is the virtual time of the fair share.
	virtual float64
	rate    rate
}

// NewQueue returns an empty queue.
func NewQueue(set Settings) *Queue {
	return &Queue{set: set, lines: make(map[string]*line)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Served notes that a request left its target after running for a time.
func (q *Queue) Served(ran time.Duration) { q.rate.served(ran) }

// Wait estimates how long a new request of a priority would wait for one of places.
func (q *Queue) Wait(now step.Time, priority, places int) time.Duration {
	ahead := 0
	for _, name := range q.names {
		for _, it := range q.lines[name].items {
			if q.level(now, it) >= priority {
				ahead++
			}
		}
	}
	return q.rate.wait(ahead, places)
}

// Push queues a request for one of a number of places. It reports false, with the
// time after which coming back helps, if the queue is full or the deadline can't be met.
func (q *Queue) Push(now step.Time, it Item, places int) (retryAfter time.Duration, ok bool) {
	if q.size >= q.set.Length {
		return max(q.rate.wait(q.size, places), time.Second), false
	}
	wait := q.Wait(now, it.Priority, places)
	if now.Mono+wait+q.rate.running() > it.Deadline {
		return max(wait, time.Second), false
	}
	q.insert(it, func(other Item) bool { return other.Queued > it.Queued })
	return 0, true
}

// Return puts a request back that was popped and found no place after all: in its
// old order, and with the service that Pop charged for it given back. Several go
// back in the reverse of the order in which they were popped.
func (q *Queue) Return(it Item) {
	l := q.insert(it, func(other Item) bool { return other.Queued >= it.Queued })
	l.finish -= it.share()
}

func (it Item) share() float64 { return it.Cost / float64(max(it.Weight, 1)) }

// insert adds a request to its customer's line, before the last ones that it goes ahead of.
func (q *Queue) insert(it Item, ahead func(other Item) bool) *line {
	l := q.lines[it.Customer]
	if l == nil {
		l = &line{}
		q.lines[it.Customer] = l
	}
	if len(l.items) == 0 {
		at, _ := slices.BinarySearch(q.names, it.Customer)
		q.names = slices.Insert(q.names, at, it.Customer)
		// A customer that was idle starts at the present: idling earns no credit.
		l.finish = max(l.finish, q.virtual)
	}
	at := len(l.items)
	for at > 0 && ahead(l.items[at-1]) {
		at--
	}
	l.items = slices.Insert(l.items, at, it)
	q.size++
	return l
}

// Pop takes the request whose turn it is.
func (q *Queue) Pop(now step.Time) (Item, bool) {
	best := ""
	bestLevel := -1
	bestFinish := 0.0
	for _, name := range q.names {
		l := q.lines[name]
		level := q.level(now, l.items[0])
		if level > bestLevel || level == bestLevel && l.finish < bestFinish {
			best, bestLevel, bestFinish = name, level, l.finish
		}
	}
	if best == "" {
		return Item{}, false
	}
	l := q.lines[best]
	it := l.items[0]
	q.removeAt(best, l, 0)
	q.virtual = max(q.virtual, l.finish)
	l.finish += it.share()
	return it, true
}

// level is a request's priority, raised by its wait.
func (q *Queue) level(now step.Time, it Item) int {
	return it.Priority + int((now.Mono-it.Queued)/q.set.Aging)
}

// Remove takes a request out whose caller is gone.
func (q *Queue) Remove(customer string, id step.RequestID) bool {
	l := q.lines[customer]
	if l == nil {
		return false
	}
	at := slices.IndexFunc(l.items, func(it Item) bool { return it.ID == id })
	if at < 0 {
		return false
	}
	q.removeAt(customer, l, at)
	return true
}

// Expired takes out, in order, the requests that can't be whole before their deadline any more.
func (q *Queue) Expired(now step.Time) []Item {
	var late []Item
	for _, name := range slices.Clone(q.names) {
		l := q.lines[name]
		for i := 0; i < len(l.items); {
			if now.Mono+q.rate.running() <= l.items[i].Deadline {
				i++
				continue
			}
			late = append(late, l.items[i])
			q.removeAt(name, l, i)
		}
	}
	return late
}

func (q *Queue) removeAt(name string, l *line, at int) {
	l.items = slices.Delete(l.items, at, at+1)
	q.size--
	if len(l.items) > 0 {
		return
	}
	i, _ := slices.BinarySearch(q.names, name)
	q.names = slices.Delete(q.names, i, i+1)
}
