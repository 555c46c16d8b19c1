package relay

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
)

// TestNumbersOfOtherDaemonsAreBounded guards against ages that overflow, which would put what another
// daemon states into the future, and against rates whose sum is not finite.
func TestNumbersOfOtherDaemonsAreBounded(t *testing.T) {
	const now = time.Hour
	clock := func() time.Duration { return now }
	post := func(h http.Handler, body string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
		require.Equal(t, http.StatusNoContent, w.Code, w.Body)
	}
	for _, age := range []string{"9223372036854775807", "9223372036854776", "-9223372036854775808"} {
		post(EvidenceHandler(clock, func(e quarantine.Evidence) {
			require.LessOrEqual(t, e.Crashes[0].At, now)
			require.GreaterOrEqual(t, e.Crashes[0].At, now-maxStatedDuration)
		}), `{"crashes":[{"host":"h","incarnation":1,"ageMillis":`+age+`,"suspects":[]}]}`)
		post(LimitsHandler(clock, func(m hostlimit.Message) {
			require.LessOrEqual(t, m.Statements[0].AsOf, now)
			require.False(t, math.IsInf(m.Statements[0].PerSecond+m.Demand["a"]+m.Demand["b"], 0))
		}), `{"daemon":"d","demand":{"a":1.7e308,"b":1.7e308},"statements":[{"host":"h","incarnation":1,"perSecond":1.7e308,"ageMicros":`+age+`}]}`)
	}
	a, ok := ReadHandoverAnswer(http.StatusServiceUnavailable, http.Header{headerRuns: {"0"}, headerRetryAfter: {"9223372036854775807"}})
	require.True(t, ok)
	require.Equal(t, maxStatedDuration, a.Own.RetryAfter)
}
