package caller

import (
	"context"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/target"
)

// unforwardedHeaders are removed from requests to targets and from answers to callers. They
// apply to one connection only, or are meant for this daemon: the caller's credential,
// idempotency key and timeout.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	"Authorization", headerIdempotencyKey, HeaderTimeout,
}

// service serves calls to plain services.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	in, ok := h.readInput(w, r)
	if !ok {
		return
	}
	name := chi.URLParam(r, "service")
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+name)
	if path == "" {
		path = "/"
	}
	req := step.Request{
		ID: in.id, Customer: in.customer, Service: name, Method: r.Method, Path: path,
		Key: r.Header.Get(headerIdempotencyKey), Timeout: in.timeout,
		Fingerprint: fingerprint(name, r.Method, path, in.body),
	}
	c := &serviceCall{h: h, w: w, r: r, id: in.id, key: req.Key, path: path, body: in.body}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	h.exchange(r, req, c)
}

// fingerprint hashes a service call, so that the reducer recognises the same call again.
func fingerprint(service, method, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{service, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// serviceCall answers one call to a plain service. It implements responder.
type serviceCall struct {
	h      *Handler
	w      http.ResponseWriter
	r      *http.Request
	id     step.RequestID
	key    string        // idempotency key, or ""
	path   string        // escaped path at the service, with the query
	body   []byte        // body from the caller
	answer target.Answer // of the last attempt
}

func (c *serviceCall) runAttempt(ctx context.Context, d step.Dispatch) step.AttemptEnded {
	head := c.r.Header.Clone()
	for _, name := range unforwardedHeaders {
		head.Del(name)
	}
	answer, end := c.h.targets.Call(ctx, target.Attempt{
		Dispatch: d, Method: c.r.Method, Path: c.path, Header: head, Body: c.body, Key: c.key,
	})
	c.answer = answer
	return end
}

func (c *serviceCall) deliver() {
	head := c.w.Header()
	for name, values := range c.answer.Header {
		head[name] = values
	}
	for _, name := range unforwardedHeaders {
		head.Del(name)
	}
	head.Set(HeaderRequestID, string(c.id))
	head.Set(HeaderOutcome, string(object.Completed))
	c.w.WriteHeader(c.answer.Status)
	_, _ = c.w.Write(c.answer.Body)
}

func (c *serviceCall) fail(a step.Answer) { writeError(c.w, c.id, a) }
