package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

// stream sends the events of a request that follow the last one that the caller has. It aborts
// the stream when the group no longer serves.
func (v *Server) stream(w http.ResponseWriter, r *http.Request, m *Membership, id string, faults Faults) {
	v.mu.Lock()
	v.streams++
	v.mu.Unlock()
	defer v.finishStream(m)
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	if faults.NoEvents {
		return
	}
	for ; next <= Events; next++ {
		if !v.waitForNextEvent(r.Context(), m) {
			if faults.Unframed {
				serve.Abort(r) // without a reset the answer would look complete
			}
			panic(http.ErrAbortHandler)
		}
		if next == faults.BreakInEvent {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.", next, id)
			return
		}
		if faults.Padding > 0 {
			_, _ = io.WriteString(w, "data: ")
			_ = writePadding(w, faults.Padding) // the next write fails as well
			_, _ = io.WriteString(w, "\n")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", next, id, next); err != nil || out.Flush() != nil {
			return
		}
	}
}

// writePadding writes n bytes without meaning.
func writePadding(w io.Writer, n int) error {
	for n > 0 {
		piece := endlessChunk[:min(n, len(endlessChunk))]
		if _, err := io.WriteString(w, piece); err != nil {
			return err
		}
		n -= len(piece)
	}
	return nil
}

// finishStream records the end of a stream. A closing head is ready again after its last
// stream.
func (v *Server) finishStream(m *Membership) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.streams--
	if v.streams == 0 && v.running && v.member == m && m.State == stateClosing {
		m.State, v.memberLostAt = stateReady, time.Time{}
		v.register()
	}
}

// serving reports whether this server is the head of the formation and may send its streams.
func (v *Server) serving(m *Membership) bool {
	return v.running && m != nil && v.member == m && (m.State == stateOpen || m.State == stateClosing)
}

// waitForNextEvent waits until the next event is due and the group is complete. It returns
// false if the stream must be aborted.
func (v *Server) waitForNextEvent(ctx context.Context, m *Membership) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(v.site.Timing.EventInterval):
		}
		v.mu.Lock()
		serving := v.serving(m)
		members, memberLost, still := v.groupMembers, !v.memberLostAt.IsZero(), v.still != nil
		v.mu.Unlock()
		if !serving {
			return false
		}
		if !still && !memberLost && v.site.isComplete(members, m) {
			return true
		}
	}
}

// checkMembers records since when the head has lacked a member, and marks the head as broken
// after the stall timeout.
func (v *Server) checkMembers() {
	v.mu.Lock()
	m, members := v.member, v.groupMembers
	open := v.serving(m)
	v.mu.Unlock()
	if !open {
		return
	}
	complete := v.site.isComplete(members, m)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.serving(m):
	case complete:
		v.memberLostAt = time.Time{}
	case v.memberLostAt.IsZero():
		v.memberLostAt = time.Now()
	case time.Since(v.memberLostAt) > v.site.Timing.StallTimeout:
		m.State = stateBroken
		v.register()
	}
}

// EventsOf returns the body of the complete stream of a request.
func EventsOf(request string) string {
	var b strings.Builder
	for n := 1; n <= Events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s.%d\n\n", n, request, n)
	}
	return b.String()
}
