// Package stricthttp has the HTTP transport of all calls. It fails calls whose answers net/http passes on although
// they are invalid, or may be incomplete.
package stricthttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/go-faster/errors"
)

// Transport is an http.Transport that fails a call if its answer is not valid and complete. It is safe for concurrent
// use.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of t, which must not be used otherwise. It does not decompress.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	t.DisableCompression = true
	return &Transport{t}
}

// RoundTrip sends a request and returns its answer. Reading the body fails unless the answer is complete.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := &call{ctx: r.Context()}
	trace := &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { c.begin(i.Conn) },
		WroteRequest: func(i httptrace.WroteRequestInfo) { c.wroteRequest <- i.Err },
	}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = c.conn.Close() // it may be idle already; an error means that it is closed
		_ = resp.Body.Close()
		return nil, err
	}
	switch {
	case resp.Body == http.NoBody, resp.StatusCode == http.StatusSwitchingProtocols:
	case !IsFramed(resp):
		resp.Body = &checkedBody{ReadCloser: resp.Body, check: c.finish}
	case len(resp.TransferEncoding) > 0:
		resp.Body = &checkedBody{ReadCloser: resp.Body, check: func() error { return c.checkTrailer(resp) }}
	}
	return resp, nil
}

// IsFramed reports whether an answer has a length or chunks, so that its end can be told from that of its connection.
func IsFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// checkedBody is a body whose end is checked.
type checkedBody struct {
	io.ReadCloser
	check func() error // called once, at the end
	end   error        // nil before the end
}

func (b *checkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if checkErr := b.check(); checkErr != nil {
			err = checkErr
		}
		b.end = err
	}
	return n, err
}

// errNothingWritten is the error of a request of which nothing was written before its answer ended.
var errNothingWritten = errors.New("the answer precedes the request")

// errUnacknowledged is the error of a request of which the target had not received all as it ended its answer.
var errUnacknowledged = errors.New("the end of the request was not acknowledged")

// call is one request on its connection.
type call struct {
	ctx           context.Context
	conn          net.Conn
	tcp           *conn      // conn, nil over TLS, where a reset is no end of what the target sends
	writtenBefore int64      // bytes, by earlier requests on the connection
	wroteRequest  chan error // gets the result of writing the request
}

// begin sets the connection. The transport calls it again if it repeats a request on another connection, once it no
// longer writes to the one before.
func (c *call) begin(on net.Conn) {
	c.conn, c.wroteRequest = on, make(chan error, 1)
	if c.tcp, _ = on.(*conn); c.tcp != nil {
		c.writtenBefore, _ = c.tcp.writes()
	}
}

// finish ends an answer without a length, which ends with its connection, and returns an error unless the target had
// received all of the request before. The end alone does not show that the answer is complete: the kernel reports a
// reset once, and if the writer of the request gets that error, the reader sees an ordinary end.
func (c *call) finish() error {
	// The target can't have received all if a write is still waiting, so this fails no write that counts.
	_ = c.conn.Close()
	if err := c.checkRequest(); err != nil {
		return errors.Wrap(err, "the answer's connection ended before the request had arrived")
	}
	return nil
}

// checkRequest returns an error unless all of the request was written and acknowledged. The connection is closed.
func (c *call) checkRequest() error {
	if err := c.checkWrites(); err != nil {
		return err
	}
	select {
	case err := <-c.wroteRequest:
		if err != nil {
			return err
		}
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
	return c.checkWrites() // net/http may write the last bytes after that
}

// checkWrites returns an error if a write to the connection has failed, or if the target had not acknowledged all that is
// written by now as it ended the connection.
func (c *call) checkWrites() error {
	if c.tcp == nil {
		return nil
	}
	acknowledged := c.tcp.acknowledged.Load()
	switch written, err := c.tcp.writes(); {
	case err != nil:
		return err
	case written == c.writtenBefore:
		return errNothingWritten
	case acknowledged >= 0 && acknowledged < written:
		return errUnacknowledged
	}
	return nil
}

// checkTrailer returns an error, and closes the connection, if the trailer of an answer is invalid.
func (c *call) checkTrailer(resp *http.Response) error {
	err := checkNames(resp.Trailer)
	if err != nil {
		_ = c.conn.Close() // it may be idle already; an error means that it is closed
	}
	return err
}
