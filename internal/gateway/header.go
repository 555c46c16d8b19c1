package gateway

import (
	"net/http"
	"strings"

	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
)

// connectionHeaders are the hop-by-hop headers, which apply to one connection and are not
// forwarded.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardable returns a copy of h without hop-by-hop headers, including those that its
// Connection header names, and without those between daemons.
func forwardable(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	for name := range out {
		if relay.IsHandoverHeader(name) {
			delete(out, name)
		}
	}
	return out
}

// copyHeader copies a target's headers to an answer, and keeps net/http from adding a
// Content-Type or Date that the target did not send. Content-Length is left to the caller of
// this function.
func copyHeader(to, from http.Header) {
	for name, values := range forwardable(from) {
		if name != "Content-Length" {
			to[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}
