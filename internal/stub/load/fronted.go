package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// FrontedCall is a request that a caller sends through a gateway daemon.
type FrontedCall struct {
	Method, Host, Path, Body string
	Header                   map[string]string
}

// FrontedAnswer is the answer to a FrontedCall, as the caller received it.
type FrontedAnswer struct {
	// Status is 0 if there was no answer.
	Status int
	Header http.Header
	Body   string
	// Complete is true if the answer ended properly.
	Complete bool
	// Err is the reason if it did not.
	Err error
	// WrittenAt is when the last byte of the request was written; zero if that never happened.
	WrittenAt time.Time
	// KeptConnection is true if the connection had served another request before.
	KeptConnection bool
}

// FrontedCaller sends FrontedCalls. It keeps its connections open until the daemon closes
// them or they have been idle for a minute.
type FrontedCaller struct{ client *http.Client }

// NewFrontedCaller returns a caller with its own connections.
func NewFrontedCaller() *FrontedCaller {
	return &FrontedCaller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
}

// Close closes the idle connections.
func (c *FrontedCaller) Close() { c.client.CloseIdleConnections() }

// Send sends one request and reads its answer to the end. A POST without an idempotency key,
// such as the soak sends, is not repeated by the transport once a byte has been sent.
func (c *FrontedCaller) Send(ctx context.Context, address string, call FrontedCall) FrontedAnswer {
	var traced traced
	a := c.send(httptrace.WithClientTrace(ctx, traced.hooks()), address, call)
	traced.mu.Lock()
	defer traced.mu.Unlock()
	a.WrittenAt, a.KeptConnection = traced.writtenAt, traced.kept
	return a
}

// traced is what the transport tells of the connection of a request, in goroutines of its own.
type traced struct {
	mu        sync.Mutex
	writtenAt time.Time
	kept      bool
}

func (t *traced) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.kept = info.Reused
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if info.Err == nil {
				t.writtenAt = time.Now()
			}
		},
	}
}

func (c *FrontedCaller) send(ctx context.Context, address string, call FrontedCall) FrontedAnswer {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return FrontedAnswer{Err: err}
	}
	request.Host = call.Host
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return FrontedAnswer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return FrontedAnswer{Status: response.StatusCode, Header: response.Header, Body: string(body), Complete: err == nil, Err: err}
}
