package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// beginPhase is how long after its first event an answer still counts as beginning.
	beginPhase = 100 * time.Millisecond
	// unbegunShareDelay is how long a daemon waits before it shares a crash of which it knows only
	// requests that had not begun. Another daemon may know of one that had.
	unbegunShareDelay = 200 * time.Millisecond
	// A success is shared by the daemon that ranks first for its fingerprint at once, and by the
	// others successShareStep later for each rank, unless they have heard of one by then.
	successShareStep     = 25 * time.Millisecond
	maxSuccessShareDelay = 500 * time.Millisecond
	// crashSpread is how long after one attempt another may break by the same crash. A host may
	// still accept connections while it closes those that it has.
	crashSpread = 50 * time.Millisecond
	// maxEvidenceRate bounds the messages with evidence that a daemon sends in a second, beyond the
	// first ones. Many hosts may crash together.
	maxEvidenceRate = 300
	// maxSharedCrashes and maxSharedSuccesses bound the evidence of one message.
	maxSharedCrashes, maxSharedSuccesses = 64, 1024
)

// crashWatch finds out which hosts crashed under which requests, exchanges that with the other
// daemons, and keeps the verdicts on requests that crash hosts.
type crashWatch struct {
	tracker *quarantine.Tracker
	// broken are attempts that ended with their connection while their answers began or before,
	// by host. A host is being probed as long as it has any.
	broken map[string][]brokenAttempt
	// refused are the probes of such hosts that were refused, while nothing shows yet whether this
	// daemon reaches other hosts of the service.
	refused map[string]refusedProbe
	// unconfirmed are crashes of hosts while this daemon reached no other host of the service.
	unconfirmed []unconfirmedCrash
	// unbegun are crashes to be shared at their times unless a daemon knows of a request that had
	// begun.
	unbegun []unsharedCrash
	// successes are to be shared at their times.
	successes map[quarantine.Fingerprint]unsharedSuccess
	// outbox is evidence that is to be shared at shareFrom.
	outbox    quarantine.Evidence
	shareFrom time.Duration
}

type brokenAttempt struct {
	request      step.RequestID
	attempt      step.AttemptID
	address      string // of the host
	incarnation  int64  // of the host, when the attempt was sent
	at           time.Duration
	begun        bool
	fingerprints []quarantine.Fingerprint
}

type unsharedCrash struct {
	crash quarantine.Crash
	dueAt time.Duration
}

type unsharedSuccess struct{ at, dueAt time.Duration }

func newCrashWatch(rank func(quarantine.Fingerprint) int) crashWatch {
	return crashWatch{
		tracker: quarantine.New(quarantine.Defaults(), rank), broken: make(map[string][]brokenAttempt),
		successes: make(map[quarantine.Fingerprint]unsharedSuccess),
		refused:   make(map[string]refusedProbe),
	}
}

// CondemnedFingerprints returns the number of fingerprints whose requests are refused.
func (s *State) CondemnedFingerprints() int {
	final, _ := s.crashes.tracker.VerdictCount()
	return final
}

// ProvisionalFingerprints returns the number of fingerprints whose requests are sent to one host at
// a time.
func (s *State) ProvisionalFingerprints() int {
	_, provisional := s.crashes.tracker.VerdictCount()
	return provisional
}

// fingerprints returns what identifies a request to the quarantine.
func (c *call) fingerprints() []quarantine.Fingerprint {
	if c.prints == nil {
		c.prints = append(c.prints, quarantine.Fingerprint{Kind: quarantine.Content, Hash: c.contentHash(c.req.Query)})
		if c.req.Query != "" {
			c.prints = append(c.prints, quarantine.Fingerprint{Kind: quarantine.ContentWithoutQuery, Hash: c.contentHash("")})
		}
		for _, id := range c.req.SharedParts {
			if f := (quarantine.Fingerprint{Kind: quarantine.PromptPart, Hash: id}); !slices.Contains(c.prints, f) {
				c.prints = append(c.prints, f)
			}
		}
	}
	return c.prints
}

// contentHash identifies what the request asks for, with a query in place of its own.
func (c *call) contentHash(query string) uint64 {
	h := c.req.BodyHash
	for _, part := range []string{c.team, c.req.Method, c.req.Host, c.req.Path, query} {
		h = rendezvous.Mix(h ^ rendezvous.Hash(part))
	}
	return h
}

// isBeginning reports whether the answer to the running attempt is about to begin or began just
// now.
func (c *call) isBeginning(now time.Duration) bool {
	return c.events == c.eventsBefore || c.firstEventAt > 0 && now-c.firstEventAt < beginPhase
}

// probeAfterBreak records an attempt that ended with its connection, and has the host probed. It
// returns false if the request can't have crashed the host.
func (s *State) probeAfterBreak(now time.Duration, c *call, out *step.Out) bool {
	if !c.isBeginning(now) {
		return false
	}
	// A plain service says nothing before its whole answer. A stream that has delivered an event
	// may have crashed its host only if no other request can have.
	begun := (c.answerBegan || s.model(c) == "") && c.events == c.eventsBefore
	if len(s.crashes.broken[c.host]) == 0 {
		out.Add(step.ProbeHost{Host: c.host, Address: c.address})
	}
	s.crashes.broken[c.host] = append(s.crashes.broken[c.host], brokenAttempt{
		request: c.req.ID, attempt: c.attempt, address: c.address, incarnation: c.incarnation, at: now, begun: begun, fingerprints: c.fingerprints(),
	})
	return true
}

func (s *State) onStreamStarted(now time.Duration, e step.StreamStarted, out *step.Out) {
	if c := s.callOf(e.ID, e.Attempt); c != nil {
		c.firstEventAt = now
		s.recordFirstEvent(now, c, out)
		s.abandonOther(now, c, out)
	}
}

// onProbed handles the probe of a host at which attempts broke. A connection that is refused shows a
// crash only if this daemon reaches another host of the service: a cut of its links resets
// connections and may refuse new ones too.
func (s *State) onProbed(now time.Duration, e step.HostProbed, out *step.Out) {
	if e.Result == step.ProbeRefused {
		s.crashes.refused[e.Host] = refusedProbe{probe: e, until: now + pathConfirmTimeout}
		s.concludeRefused(now, out)
		return
	}
	s.concludeProbe(now, e, true, out)
}

// concludeProbe decides whether a host has crashed under the attempts that broke there, and goes on
// with the requests that wait for it. Attempts that broke after the probe was accepted need another
// one, which also decides on those that broke just before them. certain is whether a refused
// connection shows a crash by itself.
func (s *State) concludeProbe(now time.Duration, e step.HostProbed, certain bool, out *step.Out) {
	attempts := s.crashes.broken[e.Host]
	delete(s.crashes.broken, e.Host)
	if e.Result == step.ProbeAccepted {
		later := slices.IndexFunc(attempts, func(a brokenAttempt) bool { return a.at > e.Sent })
		if later >= 0 {
			from := slices.IndexFunc(attempts, func(a brokenAttempt) bool { return attempts[later].at-a.at <= crashSpread })
			s.crashes.broken[e.Host] = attempts[from:]
			attempts = attempts[:later]
			out.Add(step.ProbeHost{Host: e.Host, Address: s.crashes.broken[e.Host][0].address})
		}
	}
	if e.Result == step.ProbeRefused {
		for _, c := range crashesOf(e.Host, attempts) {
			if certain {
				s.learnCrash(now, c, out)
			} else {
				s.keepUnconfirmed(now, c, now+uncertainShareDelay)
			}
		}
	}
	for _, a := range attempts {
		if c := s.calls[a.request]; c != nil && c.attempt == a.attempt && c.awaitsProbe != nil {
			ended := *c.awaitsProbe
			c.awaitsProbe = nil
			s.conclude(now, c, ended, out)
		}
	}
}

// crashesOf returns the crash of each incarnation of a host at which attempts broke.
func crashesOf(host string, attempts []brokenAttempt) []quarantine.Crash {
	byIncarnation := make(map[int64]*quarantine.Crash)
	for _, a := range attempts {
		c := byIncarnation[a.incarnation]
		if c == nil {
			c = &quarantine.Crash{Host: host, Incarnation: a.incarnation, At: a.at}
			byIncarnation[a.incarnation] = c
		}
		if a.begun && !c.Begun {
			c.Begun, c.Suspects = true, nil
		}
		if a.begun != c.Begun {
			continue
		}
		for _, f := range a.fingerprints {
			if !slices.Contains(c.Suspects, f) {
				c.Suspects = append(c.Suspects, f)
			}
		}
	}
	var all []quarantine.Crash
	for _, incarnation := range slices.Sorted(maps.Keys(byIncarnation)) {
		all = append(all, *byIncarnation[incarnation])
	}
	return all
}

// learnCrash records a crash that this daemon has found, decides on its suspects, and shares it.
func (s *State) learnCrash(now time.Duration, c quarantine.Crash, out *step.Out) {
	if !s.recordCrash(now, c, true, out) {
		return
	}
	s.recordRunningStreams(now, out)
	s.applyVerdicts(now, s.crashes.tracker.Evaluate(now), true, out)
	if c.Begun {
		s.crashes.outbox.Crashes = append(s.crashes.outbox.Crashes, c)
		s.shareOutbox(now, out)
		return
	}
	s.crashes.unbegun = append(s.crashes.unbegun, unsharedCrash{crash: c, dueAt: now + unbegunShareDelay})
}

// recordCrash records a crash that this daemon (own) or another one has found, and reports whether
// that says anything new.
func (s *State) recordCrash(now time.Duration, c quarantine.Crash, own bool, out *step.Out) bool {
	known := s.crashes.tracker.Knows(c)
	if !s.crashes.tracker.RecordCrash(now, c) {
		return false
	}
	if own || !known {
		out.Log(event.TargetDied, event.F("host", c.Host), event.F("incarnation", c.Incarnation), event.F("own", own), event.F("begun", c.Begun),
			event.F("suspects", names(c.Suspects)), event.F("ageMillis", (now-c.At).Milliseconds()))
	}
	return true
}

// shareOutbox shares the evidence in the outbox if its time has come. By then suspects may have
// been cleared.
func (s *State) shareOutbox(now time.Duration, out *step.Out) {
	w := &s.crashes
	if now < w.shareFrom {
		return
	}
	var e quarantine.Evidence
	for len(w.outbox.Crashes) > 0 && len(e.Crashes) < maxSharedCrashes {
		c := w.outbox.Crashes[0]
		w.outbox.Crashes = w.outbox.Crashes[1:]
		if c.Suspects = w.tracker.Suspects(c); len(c.Suspects) > 0 {
			e.Crashes = append(e.Crashes, c)
		}
	}
	n := min(len(w.outbox.Successes), maxSharedSuccesses)
	e.Successes, w.outbox.Successes = w.outbox.Successes[:n:n], w.outbox.Successes[n:]
	if len(e.Crashes) == 0 && n == 0 {
		return
	}
	w.shareFrom = now + time.Duration(len(s.daemonAddresses))*time.Second/maxEvidenceRate
	s.shareEvidence(e, out)
}

// shareEvidence sends evidence to all other daemons.
func (s *State) shareEvidence(e quarantine.Evidence, out *step.Out) {
	if addresses := s.otherDaemons(); len(addresses) > 0 {
		out.Add(step.ShareEvidence{Addresses: addresses, Evidence: e})
	}
}

// otherDaemons returns the addresses of the daemons that take calls of others.
func (s *State) otherDaemons() []string {
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(s.daemonAddresses)) {
		if address := s.daemonAddresses[name]; address != "" && name != s.settings.Daemon {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// onEvidence records what another daemon knows, and then decides: successes of the same message may
// clear the suspects of its crashes.
func (s *State) onEvidence(now time.Duration, e quarantine.Evidence, out *step.Out) {
	for _, trial := range e.Trials {
		s.crashes.tracker.RecordTrial(trial)
	}
	for _, c := range e.Uncertain {
		s.keepUnconfirmed(now, c, 0)
	}
	s.confirmCrashes(now, out)
	learnt := false
	for _, c := range e.Crashes {
		if s.recordCrash(now, c, false, out) {
			learnt = true
		}
	}
	if learnt {
		s.recordRunningStreams(now, out)
	}
	for _, success := range e.Successes {
		f := success.Fingerprint
		_, ended := s.crashes.tracker.RecordSuccess(success.At, []quarantine.Fingerprint{f})
		s.applyVerdicts(now, ended, false, out)
		if own, ok := s.crashes.successes[f]; ok && own.at <= success.At {
			delete(s.crashes.successes, f)
		}
	}
	s.applyVerdicts(now, s.crashes.tracker.Evaluate(now), false, out)
}

// recordSuccess records that a request ran well at a time, which clears what it is suspected of.
func (s *State) recordSuccess(now, at time.Duration, c *call, out *step.Out) {
	s.crashes.tracker.RecordProven(at, c.req.SharedParts)
	if s.crashes.tracker.Idle() {
		return
	}
	cleared, ended := s.crashes.tracker.RecordSuccess(at, c.fingerprints())
	for _, f := range cleared {
		delay := min(time.Duration(s.rankFor(f))*successShareStep, maxSuccessShareDelay)
		s.crashes.successes[f] = unsharedSuccess{at: at, dueAt: now + delay}
	}
	if len(cleared) > 0 {
		out.Log(event.SuspicionCleared, event.F("request", c.req.CallerID), event.F("host", c.host),
			event.F("fingerprints", names(cleared)), event.F("ageMillis", (now-at).Milliseconds()))
	}
	s.applyVerdicts(now, ended, true, out)
}

// rankFor is the rank of this daemon among all for a duty about a fingerprint.
func (s *State) rankFor(f quarantine.Fingerprint) int {
	own := rendezvous.Score(rendezvous.Hash(s.settings.Daemon), f.Hash, 0)
	rank := 0
	for _, h := range s.daemonHashes {
		if rendezvous.Score(h, f.Hash, 0) > own {
			rank++
		}
	}
	return rank
}

// recordRunningStreams records the streams in flight that have begun well.
func (s *State) recordRunningStreams(now time.Duration, out *step.Out) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		began := c.firstEventAt
		if c.other.hasBegun() {
			began = max(began, c.other.firstEventAt)
		}
		if began > 0 && now-began >= beginPhase && c.awaitsProbe == nil && c.interrupted == nil {
			s.recordSuccess(now, began, c, out)
		}
	}
}

// crashTick lets verdicts expire and shares what is due.
func (s *State) crashTick(now time.Duration, out *step.Out) {
	w := &s.crashes
	if w.tracker.Idle() && len(w.unbegun) == 0 && len(w.successes) == 0 && len(w.outbox.Crashes) == 0 && len(w.outbox.Successes) == 0 {
		return
	}
	s.applyVerdicts(now, w.tracker.Tick(now), false, out)
	s.recordRunningStreams(now, out)
	w.unbegun = slices.DeleteFunc(w.unbegun, func(u unsharedCrash) bool {
		if now < u.dueAt {
			return false
		}
		if !w.tracker.KnowsBegun(u.crash) {
			w.outbox.Crashes = append(w.outbox.Crashes, u.crash)
		}
		return true
	})
	for _, f := range slices.SortedFunc(maps.Keys(w.successes), quarantine.Compare) {
		if success := w.successes[f]; now >= success.dueAt {
			w.outbox.Successes = append(w.outbox.Successes, quarantine.Success{Fingerprint: f, At: success.at})
			delete(w.successes, f)
		}
	}
	s.shareOutbox(now, out)
}

// applyVerdicts logs verdicts that began or ended and has them written. own is set if this daemon
// brought that about. Attempts that wait for their turn at a host are cancelled if their requests
// would be refused now.
func (s *State) applyVerdicts(now time.Duration, changes []quarantine.Change, own bool, out *step.Out) {
	for _, change := range changes {
		v := change.Verdict
		s.scheduleWrite(now, change, own)
		if change.Ended != quarantine.Began {
			out.Log(event.FingerprintReleased, event.F("fingerprint", v.Fingerprint), event.F("reason", change.Ended))
			continue
		}
		out.Log(event.FingerprintCondemned, event.F("fingerprint", v.Fingerprint), event.F("hosts", strings.Join(v.Hosts, " ")),
			event.F("rivals", names(v.Rivals)), event.F("level", v.Level), event.F("own", own))
		s.cancelRefused(out)
	}
	for _, v := range s.crashes.tracker.TakeProvisional() {
		s.scheduleWrite(now, quarantine.Change{Verdict: v}, own)
		out.Log(event.FingerprintProvisional, event.F("fingerprint", v.Fingerprint), event.F("hosts", strings.Join(v.Hosts, " ")), event.F("own", own))
	}
}

func (s *State) cancelRefused(out *step.Out) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		waits := c.firstEventAt == 0 && c.awaitsProbe == nil && c.interrupted == nil && !c.callerGone && !c.moving && c.other == nil && len(c.tried) == 0
		if waits && (c.route.MayRepeat() || c.route.Kind == site.Stream) && s.crashes.tracker.CertainlyRefused(c.fingerprints()) {
			c.cancelAttempts(out)
		}
	}
}

// quarantineDecision decides whether a request may be sent to a host. A trial may go on until it
// has reached one. A request that would be tried if a host could take it is let through, to be
// refused for want of a host.
func (s *State) quarantineDecision(now time.Duration, c *call, mayTry bool) quarantine.Decision {
	if !s.crashes.tracker.HasVerdicts() || len(c.tried) > 0 && c.reachedAttempts() == 0 {
		return quarantine.Decision{}
	}
	if !s.crashes.tracker.Condemned(c.fingerprints()) {
		return quarantine.Decision{}
	}
	hasTarget := s.targets.Peek(now, s.placement(now, c)).Target != nil
	d := s.crashes.tracker.Decide(now, c.fingerprints(), mayTry && hasTarget)
	if !hasTarget && !d.Certain {
		return quarantine.Decision{}
	}
	return d
}

// shareTrial tells the other daemons of a trial, so that they make none for a while, or that it was
// void, so that the next one need not wait as long.
func (s *State) shareTrial(now time.Duration, c *call, void bool, out *step.Out) {
	var e quarantine.Evidence
	for _, f := range c.tried {
		trial := quarantine.Trial{Fingerprint: f, At: now, Void: void}
		e.Trials = append(e.Trials, trial)
		if void {
			s.crashes.tracker.WithdrawTrial(trial)
		}
	}
	s.shareEvidence(e, out)
}

// endQuarantined ends a request that is refused because requests like it crash hosts.
func (s *State) endQuarantined(now time.Duration, c *call, d quarantine.Decision, fallback step.Answer, out *step.Out) {
	out.Log(event.RequestQuarantined, event.F("request", c.req.CallerID), event.F("team", c.team), event.F("fingerprint", d.Refused), event.F("attempts", c.attempts))
	if fallback.Status == 0 || c.ranAttempts == 0 {
		fallback = step.Answer{
			Status: 503, Code: step.CodeQuarantined, RetryAfter: d.RetryAfter,
			Message: "requests like this one crash the targets that begin to answer them: don't send it again",
		}
	}
	s.end(now, c, fallback, "quarantined", out)
}

// names returns fingerprints as they appear in logs.
func names(fingerprints []quarantine.Fingerprint) string {
	text := make([]string, len(fingerprints))
	for i, f := range fingerprints {
		text[i] = f.String()
	}
	return strings.Join(text, " ")
}
