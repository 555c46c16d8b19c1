package gateway

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// worldClock is the time of a simulated deployment, with what is to happen later.
type worldClock struct {
	rt  *rapid.T
	now time.Duration
	due []worldEvent // sorted by time
}

type worldEvent struct {
	at time.Duration
	do func()
}

// after lets something happen after a delay between two bounds.
func (w *worldClock) after(least, most time.Duration, do func()) {
	at := w.now + least
	if most > least {
		at += time.Duration(rapid.Int64Range(0, int64(most-least)).Draw(w.rt, "delay"))
	}
	i, _ := slices.BinarySearchFunc(w.due, at, func(e worldEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	w.due = slices.Insert(w.due, i, worldEvent{at, do})
}

// runDue lets happen what is due now.
func (w *worldClock) runDue() {
	for len(w.due) > 0 && w.due[0].at <= w.now {
		e := w.due[0]
		w.due = w.due[1:]
		e.do()
	}
}

// advance lets time pass, and calls tick as often as daemons have their ticks.
func (w *worldClock) advance(d time.Duration, tick func()) {
	for until := w.now + d; w.now < until; w.now += 10 * time.Millisecond {
		w.runDue()
		if w.now%(50*time.Millisecond) == 0 {
			tick()
		}
	}
}

// handovers carries requests from daemons that hand them over to those that take them, and answers
// back. IDs of requests are unique over all daemons.
type handovers struct {
	calls map[step.RequestID]step.Call // all requests
	taken map[step.RequestID]*takenRequest
	byID  map[step.AttemptID]step.RequestID // of the taken request, by the attempt that handed it over
	// messages is the number of requests handed over.
	messages int
}

type takenRequest struct {
	forward step.Forward
	runs    int                    // attempts that may have run
	sent    int                    // attempts at hosts
	reached int                    // attempts that may have reached a host
	failed  bool                   // the last attempt ended with a failure answer
	reply   func(ended step.Event) // to the daemon that handed it over
}

func newHandovers() *handovers {
	return &handovers{calls: make(map[step.RequestID]step.Call), taken: make(map[step.RequestID]*takenRequest), byID: make(map[step.AttemptID]step.RequestID)}
}

// begin returns the request as the daemon gets it that takes it.
func (h *handovers) begin(f step.Forward, reply func(step.Event)) step.Call {
	h.messages++
	call := h.calls[f.ID]
	call.ID = step.RequestID(fmt.Sprintf("%s>%d", f.Attempt, h.messages))
	call.HandedOver, call.MaxRuns, call.Counted, call.ConfigVersion = true, f.MaxRuns, f.Counted, f.ConfigVersion
	call.LeavingHosts, call.Service = f.LeavingHosts, f.Service
	h.calls[call.ID] = call
	h.taken[call.ID] = &takenRequest{forward: f, reply: reply}
	h.byID[f.Attempt] = call.ID
	return call
}

// onEnded counts an attempt of a taken request that may have run.
func (h *handovers) onEnded(id step.RequestID, ending step.Ending) {
	r := h.taken[id]
	if r == nil {
		return
	}
	r.sent++
	if ending != step.EndedUnsent {
		r.reached++
	}
	if ending != step.EndedUnsent && ending != step.EndedRefused {
		r.runs++
		r.failed = ending == step.EndedError
	}
}

// onEffect passes an answer to a taken request back.
func (h *handovers) onEffect(effect step.Effect) {
	var id step.RequestID
	result := &step.HandoverResult{}
	ending := step.EndedComplete
	switch e := effect.(type) {
	case step.Deliver:
		id = e.ID
	case step.Answer:
		id, result.Answer, ending = e.ID, &e, step.EndedBroken
		if e.Outcome == object.NotRun {
			ending = step.EndedRefused
		}
	default:
		return
	}
	if r := h.taken[id]; r != nil {
		delete(h.taken, id)
		if ending == step.EndedComplete && r.failed {
			ending = step.EndedError
		}
		result.Runs, result.Sent, result.Reached = r.runs, r.sent, r.reached
		r.reply(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: r.forward.ID, Attempt: r.forward.Attempt, Ending: ending}, Handover: result})
	}
}
