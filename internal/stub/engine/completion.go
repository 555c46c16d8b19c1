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

func (e *Engine) chat(w http.ResponseWriter, r *http.Request)       { e.complete(w, r, true) }
func (e *Engine) completion(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) }

// run is one attempt that the engine has taken.
type run struct {
	engine      *Engine
	incarnation *lifecycle.Incarnation[*state]
	held        *assignment
	request     *http.Request
	ctx         context.Context // ends with the caller, the group, the incarnation or a cancel
	attempt     string
	from        int // tokens delivered before
	body        Request
	prompt      string
	wrong       misbehaviour
	answer      *writer
	left        int  // tokens still to be generated
	ended       bool // the place in the batch is free again
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
	held, ok := i.State.serves(r, time.Now())
	if !ok {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if !e.enter(w, i) {
		return
	}
	job := &run{
		engine: e, incarnation: i, held: held, request: r, attempt: attempt,
		body: body, prompt: prompt, wrong: e.nextMisbehaviour(),
	}
	job.from, _ = strconv.Atoi(r.Header.Get(engineapi.HeaderResume))
	job.prepare(w, chat)
	job.do()
}

// serves returns the assignment if the engine leads the group that the request
// means to reach and believes it is ready.
func (s *state) serves(r *http.Request, now time.Time) (*assignment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retiring || s.held == nil || s.held.order.Rank != 0 || !s.ready(now) {
		return nil, false
	}
	group, generation := r.Header.Get(engineapi.HeaderGroup), r.Header.Get(engineapi.HeaderGeneration)
	if group != "" && group != s.held.order.Group {
		return nil, false
	}
	if generation != "" && generation != strconv.FormatUint(s.held.order.Generation, 10) {
		return nil, false
	}
	return s.held, true
}

func (e *Engine) refuse(w http.ResponseWriter, status int) {
	e.count(func(s *Stats) { s.Refused++ })
	w.Header().Set(engineapi.HeaderNotRun, "true")
	http.Error(w, "not run", status)
}

// enter admits a request to the batch or answers it.
func (e *Engine) enter(w http.ResponseWriter, i *lifecycle.Incarnation[*state]) bool {
	switch i.State.gate.Enter() {
	case warmth.Run:
		return true
	case warmth.Refuse:
		e.refuse(w, http.StatusServiceUnavailable)
		return false
	case warmth.Topple:
		e.count(func(s *Stats) { s.Toppled++ })
		e.end(i)
	}
	panic(http.ErrAbortHandler)
}

func (j *run) prepare(w http.ResponseWriter, chat bool) {
	echoed := j.attempt
	if j.wrong.wrongAttempt {
		echoed = "other-" + j.attempt
		w.Header().Set(engineapi.HeaderAttempt, echoed)
	}
	j.answer = &writer{w: w, chat: chat, attempt: echoed, request: j.body, prompt: j.prompt}
}

// do runs the attempt and always leaves the gate.
func (j *run) do() {
	ctx, cancel := context.WithCancel(j.request.Context())
	defer cancel()
	unhook := context.AfterFunc(j.held.ctx, cancel)
	defer unhook()
	j.ctx = ctx
	s := j.incarnation.State
	j.left = max(j.body.MaxTokens-j.from, 0)
	s.track(j.attempt, j.left, cancel)
	defer func() { j.leave(false) }()
	j.engine.count(func(stats *Stats) {
		stats.Runs++
		stats.RunsByAttempt[j.attempt]++
	})
	j.checkGroupAtStart()
	j.firstToken()
	j.generate()
}

// leave frees the place in the batch. A whole answer does so before its end is
// sent, since the caller may send the next request at once.
func (j *run) leave(whole bool) {
	if j.ended {
		return
	}
	j.ended = true
	j.incarnation.State.untrack(j.attempt, j.left)
	j.incarnation.State.gate.Leave(whole)
	if whole {
		j.engine.count(func(stats *Stats) { stats.Whole++ })
	}
}

// checkGroupAtStart hangs a request that reached a group without all its members.
func (j *run) checkGroupAtStart() {
	age, broken := j.incarnation.State.brokenFor(j.held, time.Now())
	if !broken {
		return
	}
	j.engine.count(func(s *Stats) {
		s.BrokenGroupRequests++
		s.BrokenAgeMillis = max(s.BrokenAgeMillis, age.Milliseconds())
	})
	j.hang()
}

func (j *run) hang() {
	sleep(j.ctx, j.engine.options.BreakAfter)
	panic(http.ErrAbortHandler)
}

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
	j.engine.end(j.incarnation)
	panic(http.ErrAbortHandler)
}

// wait lets time pass for the run, or breaks it off.
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

// generate produces the tokens that are left and ends the answer.
func (j *run) generate() {
	if j.body.Stream {
		j.answer.startStream()
	}
	first := j.from
	for i := first; i < j.body.MaxTokens; i++ {
		if i > first {
			j.wait(j.engine.options.TokenGap)
		}
		j.checkRunning(i)
		j.left--
		j.incarnation.State.generated()
		j.engine.count(func(s *Stats) { s.Tokens++ })
		if j.body.Stream && !j.sendToken(i) {
			return
		}
	}
	j.end(first)
}

// checkRunning breaks a run off when its group has lost a member or its time to
// crash has come.
func (j *run) checkRunning(i int) {
	if j.wrong.crashAfter > 0 && i-j.from >= j.wrong.crashAfter {
		j.crash()
	}
	if _, broken := j.incarnation.State.brokenFor(j.held, time.Now()); broken {
		j.engine.count(func(s *Stats) { s.BrokenInFlight++ })
		j.hang()
	}
}

// sendToken sends token i and reports whether the stream goes on.
func (j *run) sendToken(i int) bool {
	text := Token(j.prompt, i)
	j.answer.chunk(text, i+1)
	if j.wrong.duplicate {
		j.wrong.duplicate = false
		j.answer.chunk(text, i+1)
	}
	return !j.wrong.truncate || i < (j.from+j.body.MaxTokens)/2
}

func (j *run) end(first int) {
	j.leave(!j.wrong.truncate)
	if j.body.Stream {
		j.answer.finish()
		return
	}
	j.answer.whole(Text(j.prompt, first, j.body.MaxTokens), j.wrong.truncate)
}
