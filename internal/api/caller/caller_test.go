package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/target"
)

// keyHash is the SHA-256 of "secret".
const keyHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

// unusedLoop fails the test if a request reaches the reducer.
type unusedLoop struct{ t *testing.T }

func (l unusedLoop) Submit(r step.Request) <-chan step.Effect {
	l.t.Errorf("request %s reached the reducer", r.ID)
	return nil
}
func (unusedLoop) Post(step.Event)            {}
func (unusedLoop) Release(step.RequestID)     {}
func (unusedLoop) At(time.Duration) time.Time { return time.Time{} }

func (unusedLoop) Directory() *core.Directory {
	return &core.Directory{Customers: map[string]string{keyHash: "acme"}}
}

// TestRefusalsBeforeTheReducer sends requests that the handler must refuse without the
// reducer. Each answer carries a code, the request's ID and the right outcome: "unknown"
// instead of "not_run" if an idempotency key allows an earlier attempt to have run.
func TestRefusalsBeforeTheReducer(t *testing.T) {
	h := New(unusedLoop{t}, target.New(target.Defaults()), 64)
	for _, c := range []struct {
		name, path, body string
		header           http.Header
		status           int
		code, outcome    string
	}{
		{"no key", "/v1/completions", "{}", http.Header{"Authorization": nil}, 401, "unauthorized", "not_run"},
		{"no key, but an idempotency key", "/v1/services/s/", "", http.Header{"Authorization": nil, "Idempotency-Key": {"k"}}, 401, "unauthorized", "unknown"},
		{"body that is no JSON", "/v1/completions", "hello", nil, 400, "bad_request", "not_run"},
		{"no model", "/v1/completions", `{"prompt":"x"}`, nil, 400, "bad_request", "not_run"},
		{"no prompt", "/v1/chat/completions", `{"model":"m"}`, nil, 400, "bad_request", "not_run"},
		{"negative max_tokens", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":-1}`, nil, 400, "bad_request", "not_run"},
		{"too large", "/v1/completions", strings.Repeat("x", 65), nil, 413, "too_large", "not_run"},
		{"too large, with an idempotency key", "/v1/services/s/", strings.Repeat("x", 65), http.Header{"Idempotency-Key": {"k"}}, 413, "too_large", "unknown"},
		{"bad deadline", "/v1/completions", `{"model":"m","prompt":"x"}`, http.Header{"X-Timeout-Ms": {"soon"}}, 400, "bad_request", "not_run"},
		{"bad deadline, with an idempotency key", "/v1/services/s/", "", http.Header{"X-Timeout-Ms": {"-1"}, "Idempotency-Key": {"k"}}, 400, "bad_request", "unknown"},
		{"no such path", "/v2/anything", "", nil, 404, "not_found", "not_run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
			r.Header.Set("Authorization", "Bearer secret")
			for name, values := range c.header {
				r.Header[name] = values
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			require.Equal(t, c.status, w.Code, w.Body)
			require.Equal(t, c.outcome, w.Header().Get(HeaderOutcome))
			require.NotEmpty(t, w.Header().Get(HeaderRequestID))
			require.Contains(t, w.Body.String(), `"code":"`+c.code+`"`)
		})
	}
}

// FuzzGenerateBody checks that no request body makes the parser panic, and that a body
// that it accepts names a model.
func FuzzGenerateBody(f *testing.F) {
	for _, seed := range []string{"", "{}", "null", "[]", `{"model":"m","prompt":"x"}`, `{"model":"m","messages":[{}],"stream":true}`, `{"model":1}`, "{\"model\":\"\xff\"}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, upstream, err := parseGenerate(raw)
		if err == nil {
			require.NotEmpty(t, body.Model)
			require.NotEmpty(t, upstream)
		}
	})
}
