package claim

import (
	"fmt"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// sweep deletes the claim objects of windows past their retention. Every key of
// such a window is refused by CheckKey, so that nothing can be claimed anew there.
type sweep struct {
	window  int64 // the next window to look at; zero before the first tick
	reading map[step.OpID]string
	removal map[step.OpID]bool
}

// lateWindows bounds how many windows one tick may look at.
const lateWindows = 2

func (w *sweep) tick(now step.Time, set Settings, owners Owners, nextOp func() step.OpID, out *step.Out) {
	// Twice the skew: the clocks of two daemons may differ both ways.
	expired := (now.Unix - set.Retention.Milliseconds() - 2*set.Skew.Milliseconds()) / set.Window.Milliseconds()
	if w.window == 0 {
		w.window = expired
		w.reading = make(map[step.OpID]string)
		w.removal = make(map[step.OpID]bool)
	}
	for n := 0; n < lateWindows && w.window < expired; n++ {
		for shard := range set.Shards {
			name := fmt.Sprintf("w%d.s%d", w.window, shard)
			if owners.Owner("claim/"+name) != owners.Self() {
				continue
			}
			op := nextOp()
			w.reading[op] = name
			out.Add(step.GetObject{Op: op, Kind: object.KindClaim, Name: name})
		}
		w.window++
	}
}

func (w *sweep) onReply(r step.PlatformReply, nextOp func() step.OpID, out *step.Out) bool {
	if w.removal[r.Op] {
		delete(w.removal, r.Op)
		return true
	}
	name, ok := w.reading[r.Op]
	if !ok {
		return false
	}
	delete(w.reading, r.Op)
	if r.Status == step.ReplyOK {
		op := nextOp()
		w.removal[op] = true
		out.Add(step.DeleteObject{Op: op, Kind: object.KindClaim, Name: name, IfVersion: r.Object.Version})
	}
	return true
}
