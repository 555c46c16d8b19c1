package claim

import (
	"fmt"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// sweep deletes the claim objects of windows whose retention has passed. CheckKey refuses every
// key of such a window, so that no new claim can be written there.
type sweep struct {
	nextWindow int64                // the next window to delete; zero before the first tick
	reading    map[step.OpID]string // object names by the call that reads their version
	deleting   map[step.OpID]bool   // calls that delete an object
}

// maxWindowsPerTick bounds how many windows one tick deletes; the rest wait for later ticks.
const maxWindowsPerTick = 2

// tick starts to delete the objects of expired windows. Each daemon deletes those of the shards
// that it owns. The first tick only records the window that expires next, so that a daemon does
// not delete windows that expired before it started.
func (w *sweep) tick(now step.Time, set Settings, owners Owners, nextOp func() step.OpID, out *step.Out) {
	// Twice the skew, because the clocks of two daemons may deviate in opposite directions.
	expired := (now.Unix - set.Retention.Milliseconds() - 2*set.MaxClockSkew.Milliseconds()) / set.Window.Milliseconds()
	if w.nextWindow == 0 {
		w.nextWindow = expired
		w.reading = make(map[step.OpID]string)
		w.deleting = make(map[step.OpID]bool)
	}
	for n := 0; n < maxWindowsPerTick && w.nextWindow < expired; n++ {
		for shard := range set.Shards {
			name := fmt.Sprintf("w%d.s%d", w.nextWindow, shard)
			if owners.Owner("claim/"+name) != owners.Self() {
				continue
			}
			op := nextOp()
			w.reading[op] = name
			out.Add(step.GetObject{Op: op, Kind: object.KindClaim, Name: name})
		}
		w.nextWindow++
	}
}

func (w *sweep) onReply(r step.PlatformReply, nextOp func() step.OpID, out *step.Out) bool {
	if w.deleting[r.Op] {
		delete(w.deleting, r.Op)
		return true
	}
	name, ok := w.reading[r.Op]
	if !ok {
		return false
	}
	delete(w.reading, r.Op)
	if r.Status == step.ReplyOK {
		op := nextOp()
		w.deleting[op] = true
		out.Add(step.DeleteObject{Op: op, Kind: object.KindClaim, Name: name, IfVersion: r.Object.Version})
	}
	return true
}
