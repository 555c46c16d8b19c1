package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	// upgradeStream is the random stream of the replacements of daemons by those of another build.
	upgradeStream = 3
	// Of the time in which disturbances begin, daemons are upgraded until upgradedShare, rolled back from
	// rollbackShare on until rolledBackShare, and upgraded again from thenceShare on.
	upgradedShare   = 0.35
	rollbackShare   = 0.45
	rolledBackShare = 0.6
	thenceShare     = 0.7
	// Of all daemons, one in lateShare, one at least, keeps the former build until the last upgrade.
	lateShare = 4
	// replacementDelay is the time between the end of a daemon and the start of the one that replaces it.
	replacementDelay = 300 * time.Millisecond
)

// replacement is the planned stop of a daemon, whose next process runs the new or the former build.
type replacement struct {
	at     time.Duration // since the time from which disturbances are possible
	daemon int
	former bool
}

// drawReplacements returns the replacements that a seed determines, sorted by time. All daemons run the former
// build at first and the new one at last; half of those that are upgraded early are rolled back meanwhile.
func drawReplacements(seed uint64, length time.Duration, daemons int) []replacement {
	order := rand.New(rand.NewPCG(seed, upgradeStream)).Perm(daemons)
	late := max(1, daemons/lateShare)
	early := order[:daemons-late]
	rolledBack := early[:(len(early)+1)/2]
	var all []replacement
	replace := func(daemons []int, from, to float64, former bool) {
		for i, d := range daemons {
			at := from + (to-from)*float64(i)/float64(len(daemons))
			all = append(all, replacement{time.Duration(at * float64(length)), d, former})
		}
	}
	replace(early, 0, upgradedShare, false)
	replace(rolledBack, rollbackShare, rolledBackShare, true)
	replace(slices.Concat(rolledBack, order[daemons-late:]), thenceShare, 1, false)
	return all
}

// replaceDaemons carries out the replacements of a run with a former build, until the context ends.
func (r *run) replaceDaemons(ctx context.Context, start time.Time) {
	if r.settings.Former == "" {
		return
	}
	for _, p := range drawReplacements(r.settings.Seed, r.settings.Length, len(r.daemons)) {
		if !sleepContext(ctx, time.Until(start.Add(p.at))) {
			return
		}
		program := r.settings.Program
		if p.former {
			program = r.settings.Former
		}
		r.daemons[p.daemon].replace(program)
		r.replacementCount++
	}
}

// replace stops the daemon gracefully and lets its next process run another program. A process that is
// being ended already is replaced at its end.
func (d *daemon) replace(program string) {
	d.mu.Lock()
	d.args[0] = program
	d.mu.Unlock()
	d.endProcess(syscall.SIGTERM, replacementDelay)
}
