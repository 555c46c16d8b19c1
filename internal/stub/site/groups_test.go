package site

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const groupOf = "a"

// groupTest is a site with three members of a group that serves, and the spare server s4.
type groupTest struct {
	*testing.T
	site    *Site
	members []string
}

func newGroupTest(t *testing.T) groupTest {
	s, err := New(Timing{LoadTime: time.Millisecond, WarmLoadTime: time.Millisecond, OpenTime: time.Millisecond, EventInterval: 5 * time.Millisecond, StallTimeout: 300 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	g := groupTest{t, s, []string{"s1", "s2", "s3"}}
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		_, err := s.Add(id, LLM, "zone-a", "d0")
		require.NoError(t, err)
	}
	for _, id := range g.members {
		require.Equal(t, http.StatusAccepted, g.join(id, groupOf, 1, g.members))
		g.waitFor(id, stateReady)
	}
	require.Equal(t, http.StatusAccepted, g.order("s1", order{Op: "open", Group: groupOf, Epoch: 1}))
	g.waitFor("s1", stateOpen)
	return g
}

func (g groupTest) order(server string, o order) int {
	body, err := json.Marshal(o)
	require.NoError(g, err)
	r := httptest.NewRequest(http.MethodPost, "/rhubarbswitch/order", strings.NewReader(string(body)))
	r.Header.Set("X-Expect-Instance", server)
	w := httptest.NewRecorder()
	g.site.Server(server).ServeHTTP(w, r)
	return w.Code
}

func (g groupTest) join(server, group string, epoch uint64, members []string) int {
	return g.order(server, order{Op: "join", Group: group, Epoch: epoch, Model: Model, Members: members})
}

func (g groupTest) waitFor(server, state string) {
	require.Eventually(g, func() bool { m := g.site.Server(server).Member(); return m != nil && m.State == state }, 5*time.Second, time.Millisecond, "%s %s", server, state)
}

func (g groupTest) joinOther(server string) {
	require.Equal(g, http.StatusAccepted, g.join(server, "b", 2, []string{server, "s4", "s5"}))
}

func TestJoinWhileFormerHeadMayServeIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		found   bool
		prepare func(groupTest)
	}{
		"open":    {true, func(groupTest) {}},
		"closing": {true, func(g groupTest) { g.closeBusy() }},
		"stalled": {true, func(g groupTest) { g.order("s2", order{Op: "leave", Group: groupOf, Epoch: 1}) }},
		"hidden":  {true, func(g groupTest) { g.site.Server("s1").SetHidden(true) }},
		"broken": {false, func(g groupTest) {
			g.order("s2", order{Op: "leave", Group: groupOf, Epoch: 1})
			g.waitFor("s1", stateBroken)
		}},
		"aborted": {false, func(g groupTest) { g.order("s1", order{Op: "close", Group: groupOf, Epoch: 1, Mode: "abort"}) }},
		"crashed": {false, func(g groupTest) { g.site.Server("s1").Crash(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroupTest(t)
			c.prepare(g)
			g.joinOther("s3")
			require.Equal(t, c.found, len(g.site.DoubleJoins()) == 1, "%v", g.site.DoubleJoins())
			require.Empty(t, g.site.Violations())
		})
	}
}

// closeBusy closes the group while it has a stream.
func (g groupTest) closeBusy() {
	r := httptest.NewRequest(http.MethodPost, "/chat/r1", strings.NewReader("{}"))
	r.Header.Set("X-Request-Id", "r1")
	r.Header.Set("X-Expect-Instance", "s1")
	r.Header.Set("X-Model", Model)
	go g.site.Server("s1").ServeHTTP(httptest.NewRecorder(), r)
	require.Eventually(g, func() bool { return len(g.site.Runs()) == 1 }, time.Second, time.Millisecond)
	time.Sleep(2 * time.Millisecond) // the stream is counted after its run
	g.order("s1", order{Op: "close", Group: groupOf, Epoch: 1, Mode: "wait"})
	g.waitFor("s1", stateClosing)
}

func TestGroupOfWrongSizeIsFound(t *testing.T) {
	g := newGroupTest(t)
	g.join("s4", "c", 3, []string{"s4"})
	g.waitFor("s4", stateReady)
	g.order("s4", order{Op: "open", Group: "c", Epoch: 3})
	g.waitFor("s4", stateOpen)
	require.Equal(t, []string{"s4 opens c with 1 members"}, g.site.Violations())
}

func TestSlowOrderTakesEffectLate(t *testing.T) {
	g := newGroupTest(t)
	g.site.Server("s1").SetFaults(Faults{EffectDelay: 50 * time.Millisecond})
	require.Equal(t, http.StatusAccepted, g.order("s1", order{Op: "close", Group: groupOf, Epoch: 1, Mode: "abort"}))
	require.Equal(t, stateOpen, g.site.Server("s1").Member().State)
	g.waitFor("s1", stateReady)
}

func TestStillServerHandlesCallsLater(t *testing.T) {
	g := newGroupTest(t)
	g.site.Server("s4").SetStill(true)
	answered := make(chan int, 1)
	go func() { answered <- g.join("s4", "c", 3, []string{"s4"}) }()
	select {
	case <-answered:
		t.Fatal("answered while it stands still")
	case <-time.After(50 * time.Millisecond):
	}
	g.site.Server("s4").SetStill(false)
	require.Equal(t, http.StatusAccepted, <-answered)
}
