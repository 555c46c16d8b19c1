package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/api/operator"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
	stub "github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
)

// fixture is the operators' interface of one daemon, with a stub of the platform behind it.
type fixture struct {
	t                *testing.T
	stub             *stub.Server
	platform, daemon *httptest.Server

	mu     sync.Mutex
	status operatorapi.Status // what the daemon answers
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, status: operatorapi.Status{
		Cluster: "walvis", Daemon: "d1", Ready: true,
		Daemons: []operatorapi.DaemonStatus{{Name: "d1", Applied: 1 << 40}, {Name: "d2", Applied: 1 << 40}},
		Groups: []operatorapi.GroupStatus{
			{Name: "a", Model: "m", DataCentre: "east", Members: []string{"h1", "h2"}, Serving: true, Limit: 8, InFlight: 3},
			{Name: "b", Model: "m", DataCentre: "west", Members: []string{"h3", "h4"}, Serving: true, Limit: 8, InFlight: 3},
		},
	}}
	f.stub = stub.New(stub.Options{Seed: 1})
	f.platform = httptest.NewServer(f.stub.Handler())
	t.Cleanup(f.platform.Close)
	f.daemon = httptest.NewServer(operator.New(operator.Options{
		Store: platform.New(f.platform.URL), Inspector: f, Ready: func() error { return nil },
	}))
	t.Cleanup(f.daemon.Close)
	return f
}

func (f *fixture) Status(context.Context) (operatorapi.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status, nil
}

func (f *fixture) Trace(_ context.Context, id step.RequestID) (operatorapi.Trace, error) {
	return operatorapi.Trace{Request: string(id), Events: []operatorapi.TraceEvent{{Daemon: "d1", Event: "RS2001", Message: "request answered"}}}, nil
}

// run executes a command through the daemon, after another daemon that can't be reached, and
// returns its exit code, output and error output.
func (f *fixture) run(args ...string) (int, string, string) {
	return f.runAt([]string{"--daemon", "http://127.0.0.1:1", "--daemon", f.daemon.URL}, args...)
}

func (f *fixture) runAt(where []string, args ...string) (int, string, string) {
	f.t.Helper()
	var out, errOut bytes.Buffer
	code := Run(f.t.Context(), append(args, where...), Streams{In: strings.NewReader(""), Out: &out, Err: &errOut})
	return code, out.String(), errOut.String()
}

func (f *fixture) mustRun(args ...string) (string, string) {
	f.t.Helper()
	code, out, errOut := f.run(args...)
	require.Equal(f.t, 0, code, errOut)
	return out, errOut
}

func (f *fixture) file(name, text string) string {
	path := filepath.Join(f.t.TempDir(), name)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const twoObjects = `[
  {"kind": "datacentre", "name": "east", "value": {"region": "erongo"}},
  {"kind": "contract", "name": "ropes", "value": {"priority": 3}}, // the skippers
]`

func TestApplyShowsDifferencesAndWritesOnce(t *testing.T) {
	f := newFixture(t)
	path := f.file("a.json", twoObjects)
	out, _ := f.mustRun("apply", path, "--dry-run")
	require.Contains(t, out, "contract ropes: create")
	code, _, _ := f.run("get", "contract", "ropes")
	require.Equal(t, int(ExitNotFound), code, "a dry run writes nothing")

	_, note := f.mustRun("apply", path, "--wait")
	require.Contains(t, note, "is in force on 2 daemons")
	changed := f.file("b.json", strings.Replace(twoObjects, `"priority": 3`, `"priority": 5`, 1))
	out, _ = f.mustRun("apply", changed)
	require.Contains(t, out, "datacentre east: unchanged")
	require.Contains(t, out, "~ priority: 3 -> 5")
}

func TestApplyIsConditionalOnTheVersionRead(t *testing.T) {
	f := newFixture(t)
	f.mustRun("apply", f.file("a.json", twoObjects))
	saved, _ := f.mustRun("get", "contract", "ropes", "-o", "json")
	f.mustRun("apply", f.file("b.json", strings.Replace(twoObjects, `"priority": 3`, `"priority": 5`, 1)))

	code, _, errOut := f.run("apply", f.file("c.json", strings.Replace(saved, `"priority": 3`, `"priority": 4`, 1)))
	require.Equal(t, int(ExitConflict), code)
	require.Regexp(t, `stands at version \d+, the change was made on version \d+`, errOut)
}

func TestRefusedFilesWriteNothing(t *testing.T) {
	f := newFixture(t)
	code, _, errOut := f.run("apply", f.file("a.json", strings.Replace(twoObjects, "priority", "prioritee", 1)))
	require.Equal(t, int(ExitInvalid), code)
	require.Contains(t, errOut, "line 3, column 51: prioritee: this field is not known")
	code, _, _ = f.run("get", "datacentre", "east")
	require.Equal(t, int(ExitNotFound), code)

	code, _, errOut = f.run("validate", f.file("b.json", twoObjects), f.file("c.json", twoObjects))
	require.Equal(t, int(ExitInvalid), code)
	require.Contains(t, errOut, "keep one")
}

func TestWaitNamesDaemonsThatLag(t *testing.T) {
	f := newFixture(t)
	f.status.Daemons[1].Applied = 0
	code, _, errOut := f.run("apply", f.file("a.json", twoObjects), "--wait", "--wait-timeout", "1ms")
	require.Equal(t, int(ExitNotInForce), code)
	require.Contains(t, errOut, "accepted but not in force everywhere")
	require.Contains(t, errOut, "d2 at 0")
}

func TestDataCentreOutChecksCapacity(t *testing.T) {
	f := newFixture(t)
	_, _ = f.mustRun("datacentre", "out", "east", "--check")
	code, _, _ := f.run("get", "datacentre", "east")
	require.Equal(t, int(ExitNotFound), code, "a check changes nothing")

	f.status.Groups[0].InFlight = 8
	code, out, errOut := f.run("datacentre", "out", "east")
	require.Equal(t, int(ExitNoCapacity), code, out)
	require.Contains(t, errOut, "--force")

	f.mustRun("datacentre", "out", "east", "--force", "--reason", "power", "--wait")
	out, _ = f.mustRun("get", "datacentre", "east")
	require.Contains(t, out, `"power"`)
	f.mustRun("datacentre", "in", "east")
	out, _ = f.mustRun("get", "datacentre", "east", "-o", "json")
	require.Contains(t, out, `"out": false`)

	f.status.Groups[1].Serving = false
	code, _, _ = f.run("host", "out", "h2")
	require.Equal(t, int(ExitNoCapacity), code, "the last group of a model needs --force")
}

func TestCustomerKeysAreShownOnceAndKeptAsHashes(t *testing.T) {
	f := newFixture(t)
	out, _ := f.mustRun("customer", "create", "ropes", "--model", "*", "-o", "json")
	var first issuedKey
	require.NoError(t, json.Unmarshal([]byte(out), &first))
	code, _, _ := f.run("customer", "create", "ropes")
	require.Equal(t, int(ExitConflict), code)

	hashes := func() []string {
		out, _ := f.mustRun("get", "contract", "ropes", "-o", "json")
		require.NotContains(t, out, first.Key)
		var o struct{ Value object.Contract }
		require.NoError(t, json.Unmarshal([]byte(out), &o))
		return o.Value.KeyHashes
	}
	original := hashes()
	f.mustRun("customer", "rotate-key", "ropes")
	require.Len(t, hashes(), 2)
	require.Equal(t, original[0], hashes()[1])
	f.mustRun("customer", "rotate-key", "ropes", "--drop-old")
	require.Len(t, hashes(), 1)
}

func TestFallsBackToThePlatform(t *testing.T) {
	f := newFixture(t)
	where := []string{"--daemon", "http://127.0.0.1:1", "--platform", f.platform.URL}
	code, _, errOut := f.runAt(where, "apply", f.file("a.json", twoObjects))
	require.Equal(t, 0, code, errOut)
	require.Contains(t, errOut, "does not answer")
	code, _, _ = f.runAt(where, "delete", "contract", "ropes")
	require.Equal(t, 0, code)
	code, out, _ := f.runAt(where, "status")
	require.Equal(t, 0, code)
	require.Contains(t, out, "no daemon answered")
	code, _, errOut = f.runAt([]string{"--daemon", "http://127.0.0.1:1"}, "status")
	require.Equal(t, int(ExitUnreachable), code)
	require.Contains(t, errOut, "--platform")
}

func TestLostAnswersAreReadBack(t *testing.T) {
	for _, where := range []string{"daemon", "platform"} {
		t.Run(where, func(t *testing.T) {
			f := newFixture(t)
			f.stub.SetFaults(stub.Faults{LoseWriteAnswers: 1, Seed: 1})
			at := map[string][]string{"daemon": {"--daemon", f.daemon.URL}, "platform": {"--platform", f.platform.URL}}[where]
			code, _, errOut := f.runAt(at, "apply", f.file("a.json", twoObjects))
			require.Equal(t, 0, code, errOut)
			code, _, errOut = f.runAt(at, "delete", "contract", "ropes")
			require.Equal(t, 0, code, errOut)
			require.EqualValues(t, 3, f.stub.Stats().Writes, "nothing is written twice")
		})
	}
}

func TestReportAccountAddsUp(t *testing.T) {
	f := newFixture(t)
	_, err := platform.New(f.platform.URL).Put(t.Context(), "ropes.2026-07", 0, &object.Account{
		Settled: object.Usage{Requests: 5, Tokens: 100, Unknown: 1}, Uncertain: object.Usage{Requests: 2, Tokens: 7},
		Slices: map[string]object.Slice{"i1": {Requests: 1, Tokens: 10}, "i2": {Requests: 1, Tokens: 20}},
	})
	require.NoError(t, err)
	out, _ := f.mustRun("report", "account", "-o", "csv", "--month", "2026-07")
	require.Contains(t, out, "ropes,2026-07,5,100,2,30,2,7,9,137,1,0")
}

func TestOtherCommands(t *testing.T) {
	f := newFixture(t)
	out, _ := f.mustRun("status")
	require.Contains(t, out, "cluster walvis, told by d1")
	out, _ = f.mustRun("trace", "r1")
	require.Contains(t, out, "RS2001")
	out, _ = f.mustRun("completion", "bash")
	require.Contains(t, out, `"customer rotate-key"*`)
	f.mustRun("version")
	code, out, _ := f.run("--help")
	require.Equal(t, 0, code)
	require.Contains(t, out, "rhubarbctl")
	code, _, errOut := f.run("nonsense")
	require.Equal(t, int(ExitUsage), code)
	require.Contains(t, errOut, "--help")
}
