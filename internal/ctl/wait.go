package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/backend"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

const (
	// pollInterval is the interval between two status requests while a command waits.
	pollInterval = 200 * time.Millisecond
	// progressInterval is the least time between two progress notes while a command waits.
	progressInterval = 2 * time.Second
)

// WaitFlags are the flags of a command that can wait until its change is in force.
type WaitFlags struct {
	Wait        bool          `help:"Wait until the change is in force on every live daemon."`
	WaitTimeout time.Duration `help:"Longest time to wait." default:"1m"`
}

// awaitInForce waits until the revision is in force on every daemon that the status lists:
// the live ones, and those that may be serving callers although they do not answer. It returns
// at once without --wait, and an error when the timeout or a signal ends the wait.
func (w *WaitFlags) awaitInForce(env *Env, revision object.Version) error {
	if !w.Wait || revision == 0 {
		return nil
	}
	start := time.Now()
	deadline := time.NewTimer(w.WaitTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	var lastNoteAt time.Time
	state := "no daemon has answered"
	for {
		applied, err := readApplied(env, revision)
		if err == nil && applied.Everywhere() {
			env.Notef("version %d is in force on %d daemons after %s", revision, len(applied.InForce), time.Since(start).Round(time.Millisecond))
			return nil
		}
		state = describeApplied(applied, err)
		if time.Since(lastNoteAt) >= progressInterval {
			lastNoteAt = time.Now()
			env.Notef("waiting for version %d: %s", revision, state)
		}
		select {
		case <-env.Context.Done():
			return failf(ExitNotInForce, "stopped while waiting; version %d is accepted and will come into force: check with rhubarbctl status", revision)
		case <-deadline.C:
			return failf(ExitNotInForce, "version %d is accepted but not in force everywhere after %s (%s): check the daemons named with rhubarbctl status",
				revision, w.WaitTimeout, state)
		case <-poll.C:
		}
	}
}

func readApplied(env *Env, revision object.Version) (operatorapi.Applied, error) {
	status, err := env.Backend.Status(env.Context)
	if err != nil {
		return operatorapi.Applied{}, err
	}
	if status.Daemon == "" {
		return operatorapi.Applied{}, &backend.Unreachable{Where: "any daemon", Err: fmt.Errorf("what is in force can only be read from a daemon")}
	}
	return operatorapi.AppliedOf(status, revision), nil
}

// describeApplied returns the progress of a wait, for notes and errors.
func describeApplied(a operatorapi.Applied, err error) string {
	if err != nil {
		return err.Error()
	}
	lagging := make([]string, len(a.Lagging))
	for i, l := range a.Lagging {
		lagging[i] = fmt.Sprintf("%s at %d", l.Daemon, l.Applied)
	}
	return fmt.Sprintf("in force on %d, missing on %d: %s", len(a.InForce), len(a.Lagging), strings.Join(lagging, ", "))
}
