package relay

import (
	"math"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// TestHandoverHeadersKeepWhatTheySay guards against hand-overs that lose the version by which a request was admitted.
func TestHandoverHeadersKeepWhatTheySay(t *testing.T) {
	for _, o := range []Handover{{}, {MaxRuns: 2, Counted: true, Service: "a b%", ConfigVersion: 8}, {MaxRuns: 1, ConfigVersion: math.MaxInt64}, {LeavingHosts: []step.LeavingHost{{Host: "h1", Incarnation: 7}, {Host: "a=b, c%\r\n", Incarnation: -1}}}} {
		h := http.Header{}
		o.Set(h)
		for name := range h {
			require.True(t, IsHandoverHeader(name), name)
		}
		read, err := ReadHandover(h)
		require.NoError(t, err)
		require.Equal(t, o, read)
	}
	_, err := ReadHandover(http.Header{})
	require.Error(t, err)
	_, err = ReadHandover(http.Header{headerMaxRuns: {"1"}, headerConfigVersion: {"new"}})
	require.Error(t, err, "what can't be read is not taken")
	_, err = ReadHandover(http.Header{headerMaxRuns: {"1"}, headerLeaving: {"h1"}})
	require.Error(t, err)
	read, err := ReadHandover(http.Header{headerMaxRuns: {"1"}})
	require.NoError(t, err)
	require.Zero(t, read.ConfigVersion, "of a release that names none")

	for _, answer := range []HandoverAnswer{{Host: "h", Runs: 1}, {Host: "h", Runs: 1, Sent: 4, Reached: 3, ConfigVersion: 7}} {
		h := make(http.Header)
		answer.Set(h)
		read, ok := ReadHandoverAnswer(http.StatusOK, h)
		require.True(t, ok)
		require.Equal(t, answer, read)
	}
}
