package group

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

var update = flag.Bool("update", false, "write the observed effects into the session files")

const sessionDir = "../../../test/sessions/groups"

// TestSessions runs scripted sessions of controllers against a simulated store and simulated
// engines. A line of a session is one of
//
//	# text                    a comment, kept
//	daemons N                 the number of daemons
//	hosts DOMAIN N [checks]   hosts DOMAIN-0 to DOMAIN-(N-1); with "checks" their engines check fencing
//	model NAME MEMBERS GROUPS [SPARES]
//	pass SECONDS              let time pass
//	kill|start|pause|resume|leaving|gone|out HOST
//	freeze|wake|stop DAEMON   DAEMON may be "holder", or "frozen" for the frozen one
//	lose on|off               the store loses the answers to writes
//	fence HOST N              the engine has seen fencing token N
//	slow HOST SECONDS         the engine loads that much longer
//	loads N                   the limit of hosts that load at the same time; goes before daemons
//	centre NAME out|in
//
// It is followed by what happened, which -update writes: a line with "<" is an effect of a
// controller, a line with ">" an event that it received. Answers are written only if they are
// not plainly OK, reports only if they have changed.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(sessionDir, "*.txt"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			got := play(t, want)
			if *update {
				require.NoError(t, os.WriteFile(file, got, 0o644))
				return
			}
			require.Equal(t, string(want), string(got), "run 'go test ./internal/core/group -run Sessions -update' and read the difference")
		})
	}
}

type session struct {
	t   *testing.T
	w   *world
	out bytes.Buffer
	set func(*Settings)
}

func play(t *testing.T, text []byte) []byte {
	s := &session{t: t}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "<") || strings.HasPrefix(line, ">") {
			continue
		}
		fmt.Fprintln(&s.out, line)
		if line != "" && !strings.HasPrefix(line, "#") {
			s.runLine(strings.Fields(line))
		}
	}
	require.Empty(t, s.w.violation)
	return s.out.Bytes()
}

func (s *session) runLine(f []string) {
	switch f[0] {
	case "loads":
		bound := s.number(f[1])
		s.set = func(set *Settings) { set.MaxLoadsPerDomain = bound }
	case "daemons":
		s.w = newWorldWith(s.number(f[1]), s.set)
		s.w.trace = func(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }
	case "hosts":
		for i := range s.number(f[2]) {
			s.w.addEngine(fmt.Sprintf("%s-%d", f[1], i), f[1], "dc-"+f[1], len(f) > 3)
		}
	case "model":
		m := &object.Model{Members: s.number(f[2]), Groups: s.number(f[3]), Weights: f[1] + "-weights", ColdLimit: 1, WarmLimit: 1}
		if len(f) > 4 {
			m.SpareHosts = s.number(f[4])
		}
		s.w.put(f[1], m)
	case "pass":
		s.w.advance(time.Duration(s.number(f[1])) * time.Second)
	case "lose":
		s.w.loseReplies = f[1] == "on"
	case "centre":
		s.w.put(f[1], &object.DataCentre{Out: f[2] == "out"})
	case "freeze", "wake", "stop":
		s.daemon(f[0], f[1])
	default:
		s.engine(f)
	}
}

func (s *session) engine(f []string) {
	e, ok := s.w.engines[f[1]]
	require.True(s.t, ok, "no engine %q", f[1])
	switch f[0] {
	case "kill":
		e.dead = true
	case "start":
		e.restart()
	case "pause":
		e.paused = true
	case "resume":
		e.paused = false
	case "leaving":
		e.host.Leaving = true
	case "gone":
		e.dead, e.listed = true, false
	case "out":
		s.w.put(f[1], &object.Host{Out: true})
	case "fence":
		e.fence = uint64(s.number(f[2]))
	case "slow":
		e.extraLoadTime = time.Duration(s.number(f[2])) * time.Second
	default:
		s.t.Fatalf("unknown line in a session: %q", f)
	}
}

func (s *session) daemon(what, name string) {
	for _, n := range s.w.nodes {
		holder := n.ctl.holds(n.ctl.domain("f1"))
		if n.name != name && (name != "holder" || !holder) && (name != "frozen" || !n.paused) {
			continue
		}
		fmt.Fprintf(&s.out, "> %s %s\n", what, n.name)
		switch what {
		case "freeze":
			n.paused = true
		case "wake":
			n.paused = false
		case "stop":
			n.ctl.Stop()
		}
		return
	}
	s.t.Fatalf("no daemon %q", name)
}

func (s *session) number(text string) int {
	n, err := strconv.Atoi(text)
	require.NoError(s.t, err)
	return n
}

// traceEffect writes an effect of a controller. It leaves out probes, digests, renewals and
// reads of leases.
func (n *node) traceEffect(e step.Effect) {
	if n.w.trace == nil {
		return
	}
	switch e := e.(type) {
	case step.Log:
		n.traceLine("<", "Log %v %s", e.ID, fields(e))
	case step.PutObject:
		if v, ok := e.Value.(*object.Lease); ok && v.Renewal > 1 {
			return
		}
		n.traceLine("<", "PutObject %s %s ifVersion=%d %s", e.Value.Kind(), e.Name, e.IfVersion, text(e.Value))
	case step.DeleteObject:
		n.traceLine("<", "DeleteObject %s %s ifVersion=%d", e.Kind, e.Name, e.IfVersion)
	case step.GetObject:
		if e.Kind != object.KindLease {
			n.traceLine("<", "GetObject %s %s", e.Kind, e.Name)
		}
	case step.SendOrder:
		n.traceLine("<", "SendOrder %s to %s: %s", e.Host, n.conns[e.Conn], text(e.Order))
	}
}

func (n *node) traceLine(direction, format string, args ...any) {
	n.w.trace("%s %.1fs %s %s", direction, n.w.now.Seconds(), n.name, fmt.Sprintf(format, args...))
}

func fields(l step.Log) string {
	var b strings.Builder
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
	}
	return strings.TrimSpace(b.String())
}

func text(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// traceReport writes a report of a host in a held domain if it differs from the last one.
func (n *node) traceReport(r step.HostReport) {
	h, ok := n.view.Host(r.Host)
	if n.w.trace == nil || !ok || !n.ctl.holds(n.ctl.domain(h.Domain)) {
		return
	}
	report := "silent"
	if r.OK {
		report = fmt.Sprintf("%s group=%s generation=%d ready=%v", r.Status.Incarnation, r.Status.Group, r.Status.Generation, r.Status.Ready)
	}
	if n.lastReport[r.Host] != report {
		n.lastReport[r.Host] = report
		n.traceLine(">", "HostReport %s %s", r.Host, report)
	}
}

// traceReply writes a reply that is a conflict, lost or unsent.
func (n *node) traceReply(what string, status step.ReplyStatus) {
	names := map[step.ReplyStatus]string{step.ReplyConflict: "conflict", step.ReplyLost: "lost", step.ReplyUnsent: "unsent"}
	if name, ok := names[status]; ok && n.w.trace != nil {
		n.traceLine(">", "%s %s", what, name)
	}
}
