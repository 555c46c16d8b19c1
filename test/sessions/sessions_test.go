// Package sessions tests the reducer of package core with golden files. Each file is a session:
// a sequence of events and the effects that the reducer must return for them.
//
// A line of a session is one of
//
//	# text                           comment, kept by -update
//	use NAME                         play setup/NAME.txt and drop its effects
//	at MS                            set the monotonic clock
//	put KIND NAME VERSION JSON       add an object to the next batch
//	                                 (JSON may be "deleted")
//	apply REVISION                   pass the batch to the reducer as a full one
//	change REVISION                  pass the batch to the reducer as changes
//	tick N                           N ticks, one every 50 ms
//	reply OP STATUS [VERSION [JSON]] answer a call for a claim object or, if OP is above
//	                                 2^40, for an account
//	> TYPE JSON                      any other event
//	> from DAEMON TYPE JSON          a message from a peer
//	< ...                            an effect, written by -update
package sessions

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

var update = flag.Bool("update", false, "write the effects into the session files")

// startUnix is the wall clock at monotonic time zero, in milliseconds.
const startUnix = 1_800_000_000_000

// firstAccountOp is the start of the number range for calls for accounts.
const firstAccountOp step.OpID = 1 << 40

func TestSessions(t *testing.T) {
	files, err := filepath.Glob("*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(file, ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			got := newSession(t).play(want)
			if *update {
				require.NoError(t, os.WriteFile(file, got, 0o644))
				return
			}
			requireEqualLines(t, strings.Split(string(want), "\n"), strings.Split(string(got), "\n"))
		})
	}
}

// requireEqualLines fails at the first line that differs. It does not print the whole session,
// which is long.
func requireEqualLines(t *testing.T, want, got []string) {
	for i := range max(len(want), len(got)) {
		w, g := lineAt(want, i), lineAt(got, i)
		require.Equal(t, w, g, "line %d: run 'go test ./test/sessions -update' and read the difference", i+1)
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(end)"
}

type session struct {
	t     *testing.T
	state *core.State
	now   time.Duration
	batch []object.Object
	out   bytes.Buffer
}

func newSession(t *testing.T) *session {
	set := core.Defaults("d1", "inc1", "dc1")
	set.StopGrace = 0
	return &session{t: t, state: core.New(set)}
}

func (s *session) play(text []byte) []byte {
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "<") {
			continue
		}
		fmt.Fprintln(&s.out, line)
		s.playLine(line)
	}
	return s.out.Bytes()
}

func (s *session) playLine(line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "", "#":
	case "use":
		s.playSetup(rest)
	case "at":
		s.now = time.Duration(s.parseInt(rest)) * time.Millisecond
	case "put":
		s.batch = append(s.batch, s.parseObject(rest))
	case "apply", "change":
		s.reduce(step.ConfigBatch{Full: word == "apply", Revision: object.Version(s.parseInt(rest)), Objects: s.batch})
		s.batch = nil
	case "tick":
		for range s.parseInt(rest) {
			s.now += 50 * time.Millisecond
			s.reduce(step.Tick{})
		}
	case "reply":
		s.reduce(s.parseReply(rest))
	case ">":
		s.reduce(s.parseEvent(rest))
	default:
		s.t.Fatalf("invalid session line: %q", line)
	}
}

// playSetup plays a setup file and drops its effects.
func (s *session) playSetup(name string) {
	text, err := os.ReadFile(filepath.Join("setup", name+".txt"))
	require.NoError(s.t, err)
	shown := s.out.Len()
	for line := range strings.Lines(string(text)) {
		s.playLine(strings.TrimSuffix(line, "\n"))
	}
	s.out.Truncate(shown)
}

func (s *session) reduce(e step.Event) {
	for _, effect := range s.state.Reduce(step.Time{Mono: s.now, Unix: startUnix + s.now.Milliseconds()}, e) {
		fmt.Fprintln(&s.out, "<", render(s.t, effect))
	}
}

func (s *session) parseInt(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	require.NoError(s.t, err)
	return n
}

func (s *session) parseObject(text string) object.Object {
	part := strings.SplitN(text, " ", 4)
	require.Len(s.t, part, 4, "put KIND NAME VERSION JSON")
	o := object.Object{Kind: object.Kind(part[0]), Name: part[1], Version: object.Version(s.parseInt(part[2]))}
	if part[3] != "deleted" {
		o.Value = s.parseValue(o.Kind, part[3])
	}
	return o
}

func (s *session) parseValue(kind object.Kind, text string) object.Value {
	v, err := object.New(kind)
	require.NoError(s.t, err)
	require.NoError(s.t, json.Unmarshal([]byte(text), v))
	return v
}

var replyStatuses = map[string]step.ReplyStatus{
	"ok": step.ReplyOK, "conflict": step.ReplyConflict, "absent": step.ReplyAbsent,
	"lost": step.ReplyLost, "unsent": step.ReplyUnsent,
}

func (s *session) parseReply(text string) step.PlatformReply {
	part := strings.SplitN(text, " ", 4)
	require.GreaterOrEqual(s.t, len(part), 2, "reply OP STATUS")
	status, ok := replyStatuses[part[1]]
	require.True(s.t, ok, part[1])
	r := step.PlatformReply{Op: step.OpID(s.parseInt(part[0])), Status: status}
	kind := object.KindClaim
	if r.Op >= firstAccountOp {
		kind = object.KindAccount
	}
	if len(part) > 2 {
		r.Object.Kind = kind
		r.Object.Version = object.Version(s.parseInt(part[2]))
	}
	if len(part) > 3 {
		r.Object.Value = s.parseValue(kind, part[3])
	}
	return r
}

// eventTypes are the events and messages that a session may contain, by name.
var eventTypes = typesByName(
	step.Wake{}, step.Request{}, step.CallerGone{}, step.AttemptEnded{}, step.PlatformState{},
	step.HostList{}, step.HostReport{}, step.OrderReply{}, step.PeerUp{}, step.PeerDown{}, step.Stop{},
	step.Heartbeat{}, step.ConfigAsk{}, step.ConfigDelta{}, step.Digest{}, step.Suspect{}, step.ClaimAsk{}, step.ClaimReply{}, step.Goodbye{},
)

func typesByName(values ...any) map[string]reflect.Type {
	m := make(map[string]reflect.Type)
	for _, v := range values {
		m[reflect.TypeOf(v).Name()] = reflect.TypeOf(v)
	}
	return m
}

func (s *session) parseEvent(text string) step.Event {
	from := ""
	if peer, ok := strings.CutPrefix(text, "from "); ok {
		from, text, _ = strings.Cut(peer, " ")
	}
	name, body, _ := strings.Cut(text, " ")
	kind, ok := eventTypes[name]
	require.True(s.t, ok, "unknown event %q", name)
	v := reflect.New(kind)
	if body != "" {
		d := json.NewDecoder(strings.NewReader(body))
		d.DisallowUnknownFields()
		require.NoError(s.t, d.Decode(v.Interface()), text)
	}
	if from != "" {
		return step.PeerMessage{From: from, Message: v.Elem().Interface().(step.Message)}
	}
	return v.Elem().Interface().(step.Event)
}

// render formats an effect as its type and its fields that are not zero.
func render(t *testing.T, e step.Effect) string {
	if l, ok := e.(step.Log); ok {
		text := "Log " + l.ID.String()
		for _, f := range l.Fields {
			text += fmt.Sprintf(" %s=%q", f.Key, f.Value)
		}
		return text
	}
	text := reflect.TypeOf(e).Name()
	if p, ok := e.(step.SendPeer); ok {
		to := p.To
		if to == "" {
			to = "all"
		}
		return fmt.Sprintf("%s %s %s %s", text, to, reflect.TypeOf(p.Message).Name(), renderFields(t, p.Message))
	}
	return strings.TrimSpace(text + " " + renderFields(t, e))
}

func renderFields(t *testing.T, v any) string {
	var parts []string
	rv := reflect.ValueOf(v)
	for i := range rv.NumField() {
		if rv.Field(i).IsZero() {
			continue
		}
		parts = append(parts, rv.Type().Field(i).Name+"="+renderValue(t, rv.Field(i).Interface()))
	}
	return strings.Join(parts, " ")
}

func renderValue(t *testing.T, v any) string {
	if d, ok := v.(time.Duration); ok {
		return d.String()
	}
	text, err := json.Marshal(v)
	require.NoError(t, err)
	return string(text)
}
