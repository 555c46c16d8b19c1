package site

import (
	"fmt"
	"net/http"
	"strings"
)

// Endless is a part of an answer that never ends.
type Endless string

// The parts.
const (
	EndlessHead    Endless = "head"    // one header line after the other
	EndlessBody    Endless = "body"    // of an answer that is no stream
	EndlessEvent   Endless = "event"   // one line of a stream's event
	EndlessRefusal Endless = "refusal" // the body of a refusal, a byte at a time
)

// endlessChunk is what is sent again and again.
var endlessChunk = strings.Repeat("x", 16<<10)

// sendEndless sends an endless answer until the caller closes the connection.
func (v *Server) sendEndless(w http.ResponseWriter, part Endless) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		v.site.addViolation("%s can't send without end: %v", v.ID, err)
		return
	}
	defer func() { _ = conn.Close() }()
	status, contentType, repeated := 200, "text/plain", endlessChunk
	switch part {
	case EndlessHead:
		repeated = "X-More: " + endlessChunk + "\r\n"
	case EndlessEvent:
		contentType = "text/event-stream"
	case EndlessRefusal:
		status, repeated = 503, "x"
		w.Header().Set("X-Not-Run", "1")
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %d Some\r\n", status)
	_ = w.Header().Write(out)
	if part != EndlessHead {
		_, _ = out.WriteString("\r\n")
	}
	for {
		if _, err := out.WriteString(repeated); err != nil || out.Flush() != nil {
			return
		}
	}
}
