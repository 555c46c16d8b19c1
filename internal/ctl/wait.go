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
	waitInterval     = 200 * time.Millisecond
	progressInterval = 2 * time.Second
)

// WaitFlags say whether a command waits until its change is in force everywhere.
type WaitFlags struct {
	Wait        bool          `help:"Wait until the change is in force on every live daemon."`
	WaitTimeout time.Duration `help:"Longest time to wait." default:"1m"`
}

// await returns once the revision is in force on every daemon that the answering
// one counts as live.
func (w *WaitFlags) await(env *Env, revision object.Version) error {
	if !w.Wait || revision == 0 {
		return nil
	}
	start := time.Now()
	deadline := time.NewTimer(w.WaitTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(waitInterval)
	defer poll.Stop()
	var told time.Time
	state := "no daemon has answered"
	for {
		applied, err := appliedNow(env, revision)
		if err == nil && applied.Everywhere() {
			env.Notef("version %d is in force on %d daemons after %s", revision, len(applied.InForce), time.Since(start).Round(time.Millisecond))
			return nil
		}
		state = describeWait(applied, err)
		if time.Since(told) >= progressInterval {
			told = time.Now()
			env.Notef("waiting for version %d: %s", revision, state)
		}
		select {
		case <-env.Context.Done():
			return failf(ExitNotInForce, "stopped while waiting; version %d is accepted and will come into force: check with rhubarbctl status", revision)
		case <-deadline.C:
			return failf(ExitNotInForce, "version %d is accepted but not in force everywhere after %s (%s): look at the daemons named with rhubarbctl status",
				revision, w.WaitTimeout, state)
		case <-poll.C:
		}
	}
}

func appliedNow(env *Env, revision object.Version) (operatorapi.Applied, error) {
	status, err := env.Backend.Status(env.Context)
	if err != nil {
		return operatorapi.Applied{}, err
	}
	if status.Daemon == "" {
		return operatorapi.Applied{}, &backend.Unreachable{Where: "any daemon", Err: fmt.Errorf("only daemons know what is in force")}
	}
	return operatorapi.AppliedOf(status, revision), nil
}

func describeWait(a operatorapi.Applied, err error) string {
	if err != nil {
		return err.Error()
	}
	lagging := make([]string, len(a.Lagging))
	for i, l := range a.Lagging {
		lagging[i] = fmt.Sprintf("%s at %d", l.Daemon, l.Applied)
	}
	return fmt.Sprintf("in force on %d, missing on %d: %s", len(a.InForce), len(a.Lagging), strings.Join(lagging, ", "))
}
