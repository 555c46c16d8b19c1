package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// readSlowly sends a request and reads its answer at a rate, over a connection with a small window.
func readSlowly(w *world, d *daemon, answerBytes int, bytesPerS float64) string {
	id := fmt.Sprintf("%016x", 0x9c41000000000000+uint64(w.lastID.Add(1)))
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	conn, err := dialer.Dial("tcp", d.callers)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	w.note("client sends POST %s to %s", id, d.name)
	_, err = fmt.Fprintf(conn, "POST /orders/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n", hostName, id, clientKey)
	if err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 16<<10), nil)
	if err != nil {
		return err.Error()
	}
	began := time.Now()
	w.note("client has the head of %s: status %d, length %d", id, resp.StatusCode, resp.ContentLength)
	var got bytes.Buffer
	for {
		n, err := io.CopyN(&got, resp.Body, 32<<10)
		if err == io.EOF && got.Len() == answerBytes {
			break
		}
		if err != nil {
			w.note("client has of %s: %d of %d bytes, then %v", id, got.Len(), answerBytes, err)
			return fmt.Sprintf("%s broke off after %d of %d bytes, %s after the request: %v", id, got.Len(), answerBytes, time.Since(began).Round(time.Millisecond), err)
		}
		_ = n
		time.Sleep(time.Until(began.Add(time.Duration(float64(got.Len()) / bytesPerS * float64(time.Second)))))
	}
	ok := bytes.Equal(got.Bytes(), body(id, answerBytes))
	w.note("client has of %s: all %d bytes, right %v", id, got.Len(), ok)
	if !ok {
		return "wrong bytes"
	}
	return fmt.Sprintf("whole %s after %s", id, time.Since(began).Round(time.Millisecond))
}
