// Package raw has a server for tests that answers each request with given bytes, whether they are HTTP or
// not, and counts what its callers take of bytes that never end.
package raw

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// sendBuffer is the kernel's buffer for what a server has written and its caller has not taken. It bounds the
	// difference between the two, but a buffer below loopback's segments of 64 KiB waits for delayed acknowledgements.
	sendBuffer = 256 << 10
	// repeatBytes is how many bytes are written at a time of an answer that never ends.
	repeatBytes = 64 << 10
	// unreadReceiveBuffer is the kernel's buffer for what a server does not read.
	unreadReceiveBuffer = 4 << 10
	// announced is the length of a body that never ends.
	announced = "Content-Length: 1099511627776\r\n"
)

// Answer is what a server writes after it has read a request. Then it closes the connection.
type Answer struct {
	// Text is written first.
	Text string
	// Repeat is then written again and again until the caller closes the connection; empty for nothing.
	Repeat string
	// Interval is the time between two repetitions; 0 writes as fast as the caller takes them.
	Interval time.Duration
	// Reset closes the connection by a reset.
	Reset bool
	// HalfClose ends what the server sends, and leaves the connection open and unread until the test ends.
	HalfClose bool
}

// Slack returns how many bytes the kernel may take from a server beyond those that its caller reads: both buffers of
// the connection, of which the caller's grows while it reads.
func Slack(t testing.TB) int64 {
	text, err := os.ReadFile("/proc/sys/net/ipv4/tcp_rmem")
	if err != nil {
		t.Fatal(err)
	}
	sizes := strings.Fields(string(text))
	largest, err := strconv.ParseInt(sizes[len(sizes)-1], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return largest + 4*sendBuffer
}

// Server answers requests with bytes as they are given.
type Server struct {
	Address  string // host:port
	answer   func(r *http.Request) Answer
	early    bool            // answers before it reads a body
	ended    <-chan struct{} // closed as the test ends
	written  atomic.Int64
	requests atomic.Int64
	mu       sync.Mutex // guards open
	open     int        // connections with a request
	closed   sync.Cond  // a connection has been closed
}

// Start starts a server that ends with the test.
func Start(t testing.TB, answer func(r *http.Request) Answer) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return start(t, listener, &Server{answer: answer})
}

// StartEarly starts a server that answers before it reads a body.
func StartEarly(t testing.TB, answer func(r *http.Request) Answer) *Server {
	listener, err := ListenUnread(t, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return start(t, listener, &Server{answer: answer, early: true})
}

// ListenUnread listens for connections whose kernel takes little of what is not read.
func ListenUnread(t testing.TB, address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		controlErr := conn.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadReceiveBuffer)
		})
		return errors.Join(controlErr, err)
	}}
	return c.Listen(t.Context(), "tcp", address)
}

func start(t testing.TB, listener net.Listener, s *Server) *Server {
	t.Cleanup(func() { _ = listener.Close() })
	s.Address, s.ended = listener.Addr().String(), t.Context().Done()
	s.closed.L = &s.mu
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

// StartChanging starts a server whose answer is the one that set was last called with.
func StartChanging(t testing.TB) (s *Server, set func(Answer)) {
	var answer atomic.Pointer[Answer]
	s = Start(t, func(*http.Request) Answer { return *answer.Load() })
	return s, func(a Answer) { answer.Store(&a) }
}

// Written returns how many bytes its callers and the kernel have taken.
func (s *Server) Written() int64 { return s.written.Load() }

// Requests returns how many requests have arrived.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Wait returns once no connection is open over which a request has come. Connections of callers that read on forever stay open.
func (s *Server) Wait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.open > 0 {
		s.closed.Wait()
	}
}

func (s *Server) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += change
	s.closed.Broadcast()
}

// serve answers the first request of a connection.
func (s *Server) serve(conn *net.TCPConn) {
	_ = conn.SetWriteBuffer(sendBuffer) // fails only on a closed connection
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		_ = conn.Close()
		return
	}
	s.count(1)
	defer s.count(-1)
	defer func() { _ = conn.Close() }()
	if !s.early {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	s.requests.Add(1)
	a := s.answer(r)
	if a.Reset {
		_ = conn.SetLinger(0) // fails only on a closed connection
	}
	n, err := io.WriteString(conn, a.Text)
	s.written.Add(int64(n))
	if a.HalfClose {
		_ = conn.CloseWrite() // fails only on a closed connection
		<-s.ended
		return
	}
	if a.Repeat == "" || err != nil {
		return
	}
	text := a.Repeat
	if a.Interval == 0 {
		text = strings.Repeat(a.Repeat, 1+repeatBytes/len(a.Repeat))
	}
	for err == nil {
		n, err = io.WriteString(conn, text)
		s.written.Add(int64(n))
		time.Sleep(a.Interval)
	}
}

// Endless returns answers that never end, by the part that does not. head is the status line and the header lines of
// an ordinary answer, without the empty line after them and without its framing.
func Endless(head string) map[string]Answer {
	const chunkedBody = "Transfer-Encoding: chunked\r\n\r\n"
	x := strings.Repeat("x", 1000)
	return map[string]Answer{
		"status line":                  {Text: "HTTP/1.1 200 ", Repeat: x},
		"header lines":                 {Text: head, Repeat: "X-More: " + x + "\r\n"},
		"header line":                  {Text: head + "X-More: ", Repeat: x},
		"header name":                  {Text: head, Repeat: x},
		"header line that drips":       {Text: head + "X-More: ", Repeat: "x", Interval: 5 * time.Millisecond},
		"continued header line":        {Text: head + "X-More: x", Repeat: "\r\n " + x},
		"empty lines":                  {Repeat: "\r\n"},
		"continue heads":               {Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":                  {Repeat: "HTTP/1.1 103 Early Hints\r\nLink: " + x + "\r\n\r\n"},
		"early hints that drip":        {Repeat: "HTTP/1.1 103 Early Hints\r\n\r\n", Interval: 5 * time.Millisecond},
		"after a switch of protocols":  {Text: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", Repeat: x},
		"no HTTP":                      {Repeat: "\x00\xff\x16\x03" + x},
		"no HTTP, one line":            {Repeat: x},
		"body, announced":              {Text: head + announced + "\r\n", Repeat: x},
		"body, unframed":               {Text: head + "\r\n", Repeat: x},
		"body of spaces, unframed":     {Text: head + "\r\n", Repeat: " "},
		"body, chunked":                {Text: head + chunkedBody, Repeat: "3e8\r\n" + x + "\r\n"},
		"body, tiny chunks":            {Text: head + chunkedBody, Repeat: "1\r\nx\r\n"},
		"body, one chunk":              {Text: head + chunkedBody + "ffffffffffff\r\n", Repeat: x},
		"body that drips":              {Text: head + chunkedBody, Repeat: "1\r\nx\r\n", Interval: 5 * time.Millisecond},
		"chunk size":                   {Text: head + chunkedBody, Repeat: "0"},
		"chunk extension":              {Text: head + chunkedBody + "5;x=", Repeat: x},
		"trailer lines":                {Text: head + chunkedBody + "0\r\n", Repeat: "X-More: " + x + "\r\n"},
		"trailer lines, short":         {Text: head + chunkedBody + "0\r\n", Repeat: "X: x\r\n"},
		"trailer line":                 {Text: head + chunkedBody + "0\r\nX-More: ", Repeat: x},
		"trailer that drips":           {Text: head + chunkedBody + "0\r\nX-More: ", Repeat: "x", Interval: 5 * time.Millisecond},
		"compressed, without an end":   {Text: head + "Content-Encoding: gzip\r\n\r\n\x1f\x8b\x08\x10\x00\x00\x00\x00\x00\xff", Repeat: x},
		"compressed empty streams":     {Text: head + "Content-Encoding: gzip\r\n\r\n", Repeat: "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff\x03\x00\x00\x00\x00\x00\x00\x00\x00\x00"},
		"redirects to an endless body": {Text: "HTTP/1.1 302 Found\r\nLocation: /\r\n\r\n", Repeat: x},
	}
}

// CutShort returns the beginnings of an answer, each by its length, without the whole. Those whose connection ends
// after an unframed body can't be told from whole answers and are not among them.
func CutShort(text string) map[int]string {
	cut := make(map[int]string, len(text))
	head, _, _ := strings.Cut(text, "\r\n\r\n")
	last := len(text)
	if !strings.Contains(head, "Content-Length") && !strings.Contains(head, "chunked") {
		last = len(head) + len("\r\n\r\n")
	}
	for n := range last {
		cut[n] = text[:n]
	}
	return cut
}

// InvalidNames returns answers, each complete but for a field of its head whose name is no token, by that fault. head is
// the status line and the header lines of an ordinary answer, without the empty line after them and without its framing.
func InvalidNames(head, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return map[string]string{
		"blank":                              head + "X Odd: value\r\n" + length,
		"blank before the colon":             head + "X-Odd : value\r\n" + length,
		"blanks before the colon, no value":  head + "X-Odd  :\r\n" + length,
		"tab":                                head + "X\tOdd: value\r\n" + length,
		"control byte":                       head + "X\x01Odd: value\r\n" + length,
		"zero byte":                          head + "X-Odd\x00: value\r\n" + length,
		"byte beyond ASCII":                  head + "X-Odd\xe9: value\r\n" + length,
		"separator":                          head + "X(Odd): value\r\n" + length,
		"no name":                            head + ": value\r\n" + length,
		"no colon":                           head + "X-Odd value\r\n" + length,
		"length, blank":                      head + fmt.Sprintf("Content Length: %d\r\n\r\n%s, and more", len(body), body),
		"length, blank before the colon":     head + fmt.Sprintf("Content-Length : %d\r\n\r\n%s, and more", len(body), body),
		"no length, blank before the colon":  head + "Content-Length : 0\r\n\r\n",
		"chunks, blank before the colon":     head + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"chunks, blank":                      head + "Transfer Encoding: chunked\r\n\r\n" + chunks,
		"chunks and length, blank in chunks": head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding : chunked\r\n\r\n%s", len(chunks), chunks),
	}
}

// InvalidStatuses are the ends of status lines whose status ends no request.
var InvalidStatuses = []string{"000 None", "001 One", "099 Low", "101 Switching Protocols", "199 Odd", "600 High", "999 Highest"}

// InvalidTrailer returns an answer in chunks, complete but for a field of its trailer whose name is no token.
func InvalidTrailer(head, body string) string {
	return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Odd: value\r\n\r\n", len(body), body)
}
