package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/lifecycle"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request)       { e.complete(w, r, true) }
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) }

// run is one attempt that the engine has admitted.
type run struct {
	engine       *Engine
	incarnation  *lifecycle.Incarnation[*state]
	assignment   *assignment
	request      *http.Request
	ctx          context.Context // cancelled by the caller, a cancel call, the group or the incarnation
	attempt      string
	resumeFrom   int // tokens that an earlier attempt has delivered
	completion   Request
	prompt       string
	misbehaviour misbehaviour
	answer       *answerWriter
	tokensLeft   int  // tokens that are still to be generated
	gateLeft     bool // the run has left the gate
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	i := e.process.Of(r)
	attempt := r.Header.Get(engineapi.HeaderAttempt)
	w.Header().Set(engineapi.HeaderAttempt, attempt)
	w.Header().Set(engineapi.HeaderIncarnation, i.ID)
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body, prompt, err := decodeRequest(text)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(e.currentFaults().DelayMillis) * time.Millisecond)
	assigned, ok := i.State.assignmentFor(r, time.Now())
	if !ok {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if !e.admit(w, i) {
		return
	}
	j := &run{
		engine: e, incarnation: i, assignment: assigned, request: r, attempt: attempt,
		completion: body, prompt: prompt, misbehaviour: e.nextMisbehaviour(),
	}
	j.resumeFrom, _ = strconv.Atoi(r.Header.Get(engineapi.HeaderResumeFrom))
	j.prepare(w, chat)
	j.execute()
}

// assignmentFor returns the assignment if this engine is the head (rank 0) of the group and
// generation that the request names, if it names them, and considers itself ready.
func (s *state) assignmentFor(r *http.Request, now time.Time) (*assignment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retiring || s.assignment == nil || s.assignment.order.Rank != 0 || !s.ready(now) {
		return nil, false
	}
	group, generation := r.Header.Get(engineapi.HeaderGroup), r.Header.Get(engineapi.HeaderGeneration)
	if group != "" && group != s.assignment.order.Group {
		return nil, false
	}
	if generation != "" && generation != strconv.FormatUint(s.assignment.order.Generation, 10) {
		return nil, false
	}
	return s.assignment, true
}

// refuse answers that the request was not run.
func (e *Engine) refuse(w http.ResponseWriter, status int) {
	e.count(func(s *Stats) { s.Refused++ })
	w.Header().Set(engineapi.HeaderNotRun, "true")
	http.Error(w, "not run", status)
}

// admit passes a request through the gate. It returns false after a refusal, and aborts the
// connection if the incarnation crashes by overload or has crashed.
func (e *Engine) admit(w http.ResponseWriter, i *lifecycle.Incarnation[*state]) bool {
	switch i.State.gate.Enter() {
	case warmth.Run:
		return true
	case warmth.Refuse:
		e.refuse(w, http.StatusServiceUnavailable)
		return false
	case warmth.Crash:
		e.count(func(s *Stats) { s.OverloadCrashes++ })
		e.endIncarnation(i)
	}
	panic(http.ErrAbortHandler)
}

// prepare creates the answer's writer, with another attempt's ID if the run has that fault.
func (j *run) prepare(w http.ResponseWriter, chat bool) {
	echoed := j.attempt
	if j.misbehaviour.wrongAttempt {
		echoed = "other-" + j.attempt
		w.Header().Set(engineapi.HeaderAttempt, echoed)
	}
	j.answer = &answerWriter{w: w, chat: chat, attempt: echoed, request: j.completion, prompt: j.prompt}
}

// execute runs the attempt. It leaves the gate in every case.
func (j *run) execute() {
	ctx, cancel := context.WithCancel(j.request.Context())
	defer cancel()
	unhook := context.AfterFunc(j.assignment.ctx, cancel)
	defer unhook()
	j.ctx = ctx
	s := j.incarnation.State
	j.tokensLeft = max(j.completion.MaxTokens-j.resumeFrom, 0)
	s.track(j.attempt, j.tokensLeft, cancel)
	defer func() { j.leaveGate(false) }()
	j.engine.count(func(stats *Stats) {
		stats.Runs++
		stats.RunsByAttempt[j.attempt]++
	})
	j.checkGroupAtStart()
	j.firstToken()
	j.generate()
}

// leaveGate makes the run leave the gate, at most once. A run with a complete answer leaves it
// before the end of the answer is sent: the caller may send the next request as soon as it has
// the end, and that request must not find the gate still occupied.
func (j *run) leaveGate(complete bool) {
	if j.gateLeft {
		return
	}
	j.gateLeft = true
	j.incarnation.State.untrack(j.attempt, j.tokensLeft)
	j.incarnation.State.gate.Leave(complete)
	if complete {
		j.engine.count(func(stats *Stats) { stats.Completed++ })
	}
}

// checkGroupAtStart counts a request that arrives while the group lacks a member, and lets it
// hang.
func (j *run) checkGroupAtStart() {
	age, broken := j.incarnation.State.brokenFor(j.assignment, time.Now())
	if !broken {
		return
	}
	j.engine.count(func(s *Stats) {
		s.BrokenGroupRequests++
		s.BrokenAgeMillis = max(s.BrokenAgeMillis, age.Milliseconds())
	})
	j.hang()
}

// hang waits for the time that a broken group takes to fail, then aborts the connection.
func (j *run) hang() {
	sleep(j.ctx, j.engine.options.HangTimeout)
	panic(http.ErrAbortHandler)
}

// firstToken waits until the first token is due, which takes longer if the prompt's prefix is
// not cached. A prompt that contains the crash marker ends the incarnation.
func (j *run) firstToken() {
	wait := j.engine.options.FirstToken
	hit := j.incarnation.State.usePrefix(j.prompt)
	if !hit {
		wait += j.engine.options.MissPenalty
	}
	j.engine.count(func(s *Stats) {
		if hit {
			s.PrefixHits++
		} else {
			s.PrefixMisses++
		}
	})
	j.wait(wait)
	if strings.Contains(j.prompt, crashMarker) {
		j.engine.count(func(s *Stats) { s.Poisoned++ })
		j.crash()
	}
}

func (j *run) crash() {
	j.engine.endIncarnation(j.incarnation)
	panic(http.ErrAbortHandler)
}

// wait delays the run, and aborts the connection if the run is cancelled meanwhile.
func (j *run) wait(d time.Duration) {
	ok := sleep(j.ctx, d)
	j.engine.waitWhilePaused(j.request)
	if ok {
		return
	}
	if j.request.Context().Err() != nil {
		j.engine.count(func(s *Stats) { s.Disconnects++ })
	}
	panic(http.ErrAbortHandler)
}

// generate generates the remaining tokens and finishes the answer.
func (j *run) generate() {
	if j.completion.Stream {
		j.answer.startStream()
	}
	first := j.resumeFrom
	for i := first; i < j.completion.MaxTokens; i++ {
		if i > first {
			j.wait(j.engine.options.TokenGap)
		}
		j.checkGroupAndCrash(i)
		j.tokensLeft--
		j.incarnation.State.countToken()
		j.engine.count(func(s *Stats) { s.Tokens++ })
		if j.completion.Stream && !j.sendToken(i) {
			return
		}
	}
	j.finish(first)
}

// checkGroupAndCrash lets the run hang if its group has lost a member, and ends the
// incarnation if the run has generated the tokens after which it must crash.
func (j *run) checkGroupAndCrash(i int) {
	if j.misbehaviour.crashAfter > 0 && i-j.resumeFrom >= j.misbehaviour.crashAfter {
		j.crash()
	}
	if _, broken := j.incarnation.State.brokenFor(j.assignment, time.Now()); broken {
		j.engine.count(func(s *Stats) { s.BrokenInFlight++ })
		j.hang()
	}
}

// sendToken sends token i. It returns false once half of a stream that must be truncated has
// been sent.
func (j *run) sendToken(i int) bool {
	text := Token(j.prompt, i)
	j.answer.writeChunk(text, i+1)
	if j.misbehaviour.duplicate {
		j.misbehaviour.duplicate = false
		j.answer.writeChunk(text, i+1)
	}
	return !j.misbehaviour.truncate || i < (j.resumeFrom+j.completion.MaxTokens)/2
}

func (j *run) finish(first int) {
	j.leaveGate(!j.misbehaviour.truncate)
	if j.completion.Stream {
		j.answer.finishStream()
		return
	}
	j.answer.writeComplete(Text(j.prompt, first, j.completion.MaxTokens), j.misbehaviour.truncate)
}
