package stricthttp

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const unframedAnswer = "HTTP/1.1 200 OK\r\n\r\nbody"

// upload is larger than net/http's buffers.
var upload = strings.Repeat("x", 100_000)

// scriptedConn is a connection on which an answer arrives once writing has begun.
type scriptedConn struct {
	net.Conn
	write   func(p []byte) (int, error)
	written int           // bytes; set by write
	begun   chan struct{} // closed by the first Write
	read    chan struct{} // its Read returns the answer's end once it is closed
	answer  *strings.Reader
	closed  chan struct{}
	close   sync.Once
}

func newScriptedConn(write func(c *scriptedConn, p []byte) (int, error)) *scriptedConn {
	c := &scriptedConn{begun: make(chan struct{}), read: make(chan struct{}), closed: make(chan struct{}), answer: strings.NewReader(unframedAnswer)}
	c.write = func(p []byte) (int, error) { return write(c, p) }
	return c
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	select {
	case <-c.begun:
	default:
		close(c.begun)
	}
	return c.write(p)
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	<-c.begun
	if c.answer.Len() == 0 {
		<-c.read
	}
	return c.answer.Read(p)
}

func (c *scriptedConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return nil
}

// post sends the upload over a connection and reads the answer.
func post(t *testing.T, c net.Conn) (string, error) {
	transport := NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil }})
	resp, err := (&http.Client{Transport: transport}).Post("http://target/", "", strings.NewReader(upload))
	if err != nil {
		return "", err
	}
	defer func() { require.NoError(t, resp.Body.Close()) }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestUnframedAnswerNeedsItsRequestWritten brings each order of the end of an answer and of the write of its request about.
func TestUnframedAnswerNeedsItsRequestWritten(t *testing.T) {
	for name, c := range map[string]struct {
		write func(c *scriptedConn, p []byte) (int, error)
		err   error
	}{
		"all is written before the end": {func(c *scriptedConn, p []byte) (int, error) {
			if c.written += len(p); c.written > len(upload) {
				close(c.read)
			}
			return len(p), nil
		}, nil},
		"the writer gets the reset": {func(c *scriptedConn, p []byte) (int, error) {
			if len(p) < len(upload)/10 {
				return len(p), nil // the head
			}
			defer close(c.read)
			return 10, syscall.ECONNRESET
		}, syscall.ECONNRESET},
		"the writer gets the reset late": {func(c *scriptedConn, p []byte) (int, error) {
			if len(p) < len(upload)/10 {
				return len(p), nil
			}
			close(c.read)
			time.Sleep(100 * time.Millisecond)
			return 10, syscall.ECONNRESET
		}, syscall.ECONNRESET},
		"the writer still waits": {func(c *scriptedConn, p []byte) (int, error) {
			if len(p) < len(upload)/10 {
				return len(p), nil
			}
			close(c.read)
			<-c.closed
			return 10, net.ErrClosed
		}, net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := post(t, newScriptedConn(c.write))
			if c.err == nil {
				require.NoError(t, err)
				require.Equal(t, "body", body)
				return
			}
			require.ErrorIs(t, err, c.err)
		})
	}
}

// TestWritesAfterTheEndHaveNotArrived guards against an answer that counts as complete although part of its request was
// written after its end: the kernel takes that part, and nothing fails.
func TestWritesAfterTheEndHaveNotArrived(t *testing.T) {
	for name, c := range map[string]struct {
		before, after int // bytes written before and after the end is read
		err           error
	}{
		"all before the end": {1000, 0, nil},
		"some after the end": {1000, 1000, errUnacknowledged},
		"all after the end":  {0, 1000, errUnacknowledged},
		"nothing at all":     {0, 0, errNothingWritten},
		"one byte after":     {1000, 1, errUnacknowledged},
		"one byte before":    {1, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, listener.Close()) }()
			dialed, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			target, err := listener.Accept()
			require.NoError(t, err)
			defer func() { require.NoError(t, target.Close()) }()

			tcp := newConn(dialed)
			r := call{ctx: t.Context()}
			r.begin(tcp)
			_, err = tcp.Write(make([]byte, c.before))
			require.NoError(t, err)
			_, err = io.ReadFull(target, make([]byte, c.before))
			require.NoError(t, err)
			require.NoError(t, target.(*net.TCPConn).CloseWrite())
			_, err = tcp.Read(make([]byte, 1))
			require.Equal(t, io.EOF, err)
			_, err = tcp.Write(make([]byte, c.after))
			require.NoError(t, err)
			r.wroteRequest <- nil
			require.ErrorIs(t, r.finish(), c.err)
		})
	}
}

// TestUnframedAnswersOverTLSAreComplete sends requests as rhubarbctl does.
func TestUnframedAnswersOverTLSAreComplete(t *testing.T) {
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Transfer-Encoding", "identity") // net/http ends such an answer with its connection
		_, _ = io.WriteString(w, "body")
	}))
	defer s.Close()
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	client := &http.Client{Transport: NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}})}
	for _, size := range []int{0, 10, len(upload)} {
		resp, err := client.Post(s.URL, "", strings.NewReader(upload[:size]))
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "body", string(body))
	}
}
