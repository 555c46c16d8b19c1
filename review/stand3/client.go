package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has seen of a request.
type answer struct {
	id       string
	status   int // 0 without an answer
	stamp    string
	body     string
	complete bool
	err      error
}

// send sends one request over a connection of its own, with the request target as it is.
func (g *rig) send(d *daemon, method, target, id, header, body string) answer {
	a := answer{id: id}
	g.rec.add("client sends %s to %s: %s %s, Host %s", id, d.name, method, target, clientHost)
	conn, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeoutMs*time.Millisecond + 2*time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\n%s", method, target, clientHost, id, timeoutMs, clientKey, header)
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, a.err = io.WriteString(conn, text+"\r\n"+body); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	got, err := io.ReadAll(resp.Body)
	a.status, a.stamp, a.body, a.err, a.complete = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(got), err, err == nil
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		g.rec.add("client gets %s: %d, %d events, complete %t, error %v", id, a.status, strings.Count(a.body, "\n\n"), a.complete, err)
	} else {
		g.rec.add("client gets %s: %d, X-Server-Stamp %q, body %q, error %v", id, a.status, a.stamp, a.body, err)
	}
	return a
}
