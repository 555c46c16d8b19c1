package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

const (
	// pathConfirmTimeout bounds the wait for another host of the service to be reached before a refused
	// connection is not taken for a crash for the time being.
	pathConfirmTimeout = 300 * time.Millisecond
	// maxSmallService is the number of hosts up to which one request may crash all of a service at once.
	maxSmallService = 4
	// unconfirmedMaxAge is how long an uncertain crash waits for the entry of its host to show that the
	// process has ended. Servers are back after some seconds.
	unconfirmedMaxAge = 15 * time.Second
	// restoredMaxAge is the same once the host accepts connections again. Its entry may lag behind.
	restoredMaxAge = 1500 * time.Millisecond
	// uncertainShareDelay bounds the wait for hosts of another service to be reached before an uncertain
	// crash is shared.
	uncertainShareDelay = 500 * time.Millisecond
	// maxUnconfirmed bounds the uncertain crashes.
	maxUnconfirmed = 128
)

type refusedProbe struct {
	probe step.HostProbed
	until time.Duration // how long to wait for another host to be reached
}

type unconfirmedCrash struct {
	crash   quarantine.Crash
	service string
	until   time.Duration // dropped then, unless the host is known to have ended before
	shareAt time.Duration // zero once it has been shared, or if another daemon has shared it
}

// concludeRefused decides on the hosts whose probes were refused as soon as the path is known.
func (s *State) concludeRefused(now time.Duration, out *step.Out) {
	for _, id := range slices.Sorted(maps.Keys(s.crashes.refused)) {
		r := s.crashes.refused[id]
		service := ""
		if h := s.hosts[id]; h != nil {
			service = h.Service
		}
		attempts := s.crashes.broken[id]
		if len(attempts) == 0 {
			delete(s.crashes.refused, id)
			continue
		}
		// A request may crash all hosts of a small service within a moment. Hosts of another service
		// show then that this daemon's links are sound.
		small := s.paths.Hosts(service) <= maxSmallService
		certain := s.paths.ReachedSince(service, attempts[0].at) || small && s.paths.OthersReachedSince(service, attempts[0].at)
		if certain || s.paths.Cut(service) && !(small && s.paths.OthersMayAnswer(service)) || now >= r.until {
			delete(s.crashes.refused, id)
			s.concludeProbe(now, r.probe, certain, out)
		}
	}
}

// keepUnconfirmed keeps a crash that is uncertain, to be shared at a time unless that is zero.
func (s *State) keepUnconfirmed(now time.Duration, c quarantine.Crash, shareAt time.Duration) {
	if h := s.hosts[c.Host]; h != nil && len(s.crashes.unconfirmed) < maxUnconfirmed {
		s.crashes.unconfirmed = append(s.crashes.unconfirmed, unconfirmedCrash{crash: c, service: h.Service, until: now + unconfirmedMaxAge, shareAt: shareAt})
	}
}

// shareUnconfirmed shares uncertain crashes, so that all daemons know of them by the time at which the
// hosts are back. They are dropped if no host of any service is reached: then the path is cut.
func (s *State) shareUnconfirmed(now time.Duration, out *step.Out) {
	var e quarantine.Evidence
	s.crashes.unconfirmed = slices.DeleteFunc(s.crashes.unconfirmed, func(u unconfirmedCrash) bool {
		return u.shareAt > 0 && now >= u.shareAt && s.paths.OthersCut(u.service)
	})
	for i := range s.crashes.unconfirmed {
		u := &s.crashes.unconfirmed[i]
		if u.shareAt > 0 && (now >= u.shareAt || s.paths.OthersReachedSince(u.service, u.crash.At)) {
			u.shareAt = 0
			e.Uncertain = append(e.Uncertain, u.crash)
		}
	}
	if len(e.Uncertain) > 0 {
		s.shareEvidence(e, out)
	}
}

// probeUnconfirmed probes the hosts of uncertain crashes, once other hosts of the service are reached
// again. One that still refuses connections has crashed.
func (s *State) probeUnconfirmed(service string, out *step.Out) {
	probed := make(map[string]bool)
	for _, u := range s.crashes.unconfirmed {
		if h := s.hosts[u.crash.Host]; h != nil && u.service == service && !probed[h.ID] {
			probed[h.ID] = true
			out.Add(step.ProbeHost{Host: h.ID, Address: h.Address})
		}
	}
}

// resolveUnconfirmed decides on uncertain crashes of a host by a later probe.
func (s *State) resolveUnconfirmed(now time.Duration, service string, e step.HostProbed, out *step.Out) {
	if s.paths.Cut(service) || e.Result == step.ProbeUnanswered {
		return
	}
	s.crashes.unconfirmed = slices.DeleteFunc(s.crashes.unconfirmed, func(u unconfirmedCrash) bool {
		if u.crash.Host != e.Host {
			return false
		}
		if e.Result == step.ProbeRefused {
			s.learnCrash(now, u.crash, out)
			return true
		}
		return false
	})
	for i := range s.crashes.unconfirmed {
		if u := &s.crashes.unconfirmed[i]; u.crash.Host == e.Host { // its entry may be on the way
			u.until = min(u.until, now+restoredMaxAge)
		}
	}
}

// confirmCrashes records the crashes that were not certain and of which the hosts' entries show that
// the processes have ended, and drops those that are too old.
func (s *State) confirmCrashes(now time.Duration, out *step.Out) {
	s.crashes.unconfirmed = slices.DeleteFunc(s.crashes.unconfirmed, func(u unconfirmedCrash) bool {
		h := s.hosts[u.crash.Host]
		ended := h == nil || h.Incarnation > u.crash.Incarnation
		if ended && now < u.until {
			s.learnCrash(now, u.crash, out)
		}
		return ended || now >= u.until
	})
}
