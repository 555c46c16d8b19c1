package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
)

// event returns the event with token i of a prompt's answer.
func event(prompt string, i int) string {
	return fmt.Sprintf(`data: {"choices":[{"text":%q}]}`+"\n\n", engine.Token(prompt, i))
}

func generate(t *testing.T, body string) Result {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", headerOutcome)
		_, _ = fmt.Fprint(w, body)
		w.Header().Set(headerOutcome, string(object.Completed))
	}))
	defer server.Close()
	caller := NewCaller("k", time.Minute)
	defer caller.Close()
	request := engine.Request{Prompt: "p", MaxTokens: 2, Stream: true}
	return caller.Generate(context.Background(), strings.TrimPrefix(server.URL, "http://"), request)
}

func TestChecksStreams(t *testing.T) {
	const done = "data: [DONE]\n\n"
	zero, one := event("p", 0), event("p", 1)
	for _, c := range []struct {
		name, body            string
		complete, wrong, fail bool
	}{
		{"whole", zero + one + done, true, false, false},
		{"token twice", zero + zero + one + done, true, true, false},
		{"token missing", zero + done, true, true, false},
		{"another's token", zero + event("q", 1) + done, true, true, false},
		{"cut", zero, false, false, false},
		{"error event", zero + "event: error\ndata: {\"error\":{\"code\":\"stream_broken\"}}\n\n", false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			result := generate(t, c.body)
			require.NoError(t, result.Err)
			require.Equal(t, c.complete, result.Complete)
			require.Equal(t, c.wrong, result.Wrong)
			require.Equal(t, c.fail, result.ErrorEvent)
			require.Equal(t, !c.complete && !c.fail, result.Cut())
			require.Equal(t, object.Completed, result.Outcome)
		})
	}
}

func TestReportCountsOutcomes(t *testing.T) {
	start := time.Now()
	results := []Result{
		{Sent: start, Status: 200, Outcome: object.Completed, Complete: true, Latency: time.Millisecond},
		{Sent: start, Status: 503, Outcome: object.NotRun, Code: "overloaded"},
		{Sent: start.Add(time.Second), Outcome: "", Err: context.Canceled},
	}
	report := makeReport(Options{Duration: 2 * time.Second, Deadline: time.Second}, start, 1, results)
	require.Equal(t, 3, report.Sent)
	require.Equal(t, 1, report.Completed)
	require.Equal(t, 1, report.NotRun)
	require.Equal(t, 1, report.NoOutcome)
	require.Equal(t, 1, report.Cut)
	require.Equal(t, 1, report.InDeadline)
	require.Equal(t, []Second{{2, 1}, {1, 0}, {0, 0}}, report.Seconds)
}
