package fabric

import (
	"slices"
	"time"
)

// anywhere stands for all data centres in Pool.partitions.
const anywhere = ""

// pathSuspected reports whether a host's silence speaks against the network between here and there,
// or against this daemon's own path, rather than against the host. A partition that is suspected lasts
// until most hosts have answered since; see updatePartitions.
func (p *Pool) pathSuspected(h *host) bool {
	if _, ok := p.partitions[anywhere]; ok {
		return true
	}
	if _, ok := p.partitions[h.entry.DataCentre]; ok {
		return true
	}
	var here, all sample
	for _, other := range p.hosts {
		if !other.listed {
			continue
		}
		all.add(other, h.firstMissAt, h.lastMissAt+sameBatchWindow)
		if other.entry.DataCentre == h.entry.DataCentre {
			here.add(other, h.firstMissAt, h.lastMissAt+sameBatchWindow)
		}
	}
	switch {
	case all.silentShare() > ownCutShare:
		p.partitions[anywhere] = h.firstMissAt
	case here.silent >= partitionMinHosts && here.silentShare() >= partitionShare:
		p.partitions[h.entry.DataCentre] = h.firstMissAt
	default:
		return false
	}
	return true
}

// sample counts hosts by what became of the requests that they were sent within some time. Hosts that
// were not asked then may be out of reach as well.
type sample struct{ silent, answered int }

func (s *sample) add(h *host, from, to time.Duration) {
	within := func(at time.Duration) bool { return from <= at && at <= to }
	switch {
	case within(h.lastMissAt) || h.silent:
		s.silent++
	case within(h.answeredSentAt) || within(h.answeredBefore):
		s.answered++
	}
}

func (s *sample) silentShare() float64 {
	return float64(s.silent) / float64(max(1, s.silent+s.answered))
}

// Silent reports whether no host has answered for noAnswerTimeout although some are registered.
func (p *Pool) Silent(now time.Duration) bool {
	return p.active && len(p.names) > 0 && now-p.lastAnswerAt > noAnswerTimeout
}

// CutOffFromMost reports whether this daemon's path to most hosts has been suspected to be cut for
// ownCutTimeout.
func (p *Pool) CutOffFromMost(now time.Duration) bool {
	since, ok := p.partitions[anywhere]
	return p.active && ok && now-since > ownCutTimeout
}

// updatePartitions ends the suspected partitions in which most hosts have answered by now. In the
// others no miss counts yet.
func (p *Pool) updatePartitions(now time.Duration) {
	for dataCentre, since := range p.partitions {
		if !p.mostSilent(dataCentre, since) {
			delete(p.partitions, dataCentre)
			continue
		}
		for _, h := range p.hosts {
			if dataCentre == anywhere || h.entry.DataCentre == dataCentre {
				h.forgetMisses(now)
			}
		}
	}
}

// mostSilent compares the silent hosts of a data centre, or anywhere, with those that have answered a
// request sent at a time or later. Hosts that were not asked since then may be out of reach as well.
func (p *Pool) mostSilent(dataCentre string, since time.Duration) bool {
	if dataCentre != anywhere {
		silent := p.totals.silentHosts[dataCentre]
		return silent >= partitionMinHosts && float64(silent) >= partitionShare*float64(silent+p.totals.answeredSince(dataCentre, since))
	}
	silent, answered := 0, 0
	for _, n := range p.totals.silentHosts {
		silent += n
	}
	for name := range p.totals.answeredSentAt {
		answered += p.totals.answeredSince(name, since)
	}
	return float64(silent) > ownCutShare*float64(silent+answered)
}

// answeredSince is the number of a data centre's hosts that have answered a request sent at a time or
// later, and have missed none since.
func (t *totals) answeredSince(dataCentre string, sent time.Duration) int {
	times := t.answeredSentAt[dataCentre]
	first, _ := slices.BinarySearch(times, sent)
	return len(times) - first
}
