// Package platform is the daemon's client of the platform. Client reads, writes, lists and
// watches objects and reads the host list; Follower keeps the reducer informed of changes.
//
// Every call has a timeout. A call that times out closes the idle pooled connections, so that
// the next call does not use one that is dead as well. Errors are typed: a write that is not
// proved to be unsent, refused or done returns LostError and may have taken effect.
package platform

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
)

const (
	// DefaultCallTimeout bounds a call other than a watch, unless WithCallTimeout is given. A
	// call that exceeds it fails with LostError or UnsentError.
	DefaultCallTimeout = 3 * time.Second
	// WatchGrace is the time that a watch may take to answer after its wait has ended.
	WatchGrace = 2 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// keepAliveInterval is the interval of the kernel's TCP keep-alive probes on a connection
	// without traffic, pooled or in use, and maxKeepAliveMisses the number of consecutive
	// unanswered probes after which the kernel closes it.
	keepAliveInterval  = time.Second
	maxKeepAliveMisses = 2
	// idleTimeout is how long a pooled connection may stay idle before it is closed.
	idleTimeout = 30 * time.Second
	// watchesPerConnection is the number of watches after which the idle watch connections
	// are closed, so that no connection is used for ever.
	watchesPerConnection = 20
	// maxIdleConnections bounds the idle connections of each pool.
	maxIdleConnections = 16
	// pageLimit is the number of objects requested with one page of a list.
	pageLimit = 50
	// defaultMaxAnswerBytes bounds the body of an answer, unless WithMaxAnswerBytes is given. A longer one
	// fails with LostError.
	defaultMaxAnswerBytes = 64 << 20
	// largeAnswerBytes is the size from which on the answers of a pool of connections are read one after the other.
	largeAnswerBytes = 1 << 20
	// gzipEncoding is the only encoding of answers that is asked for.
	gzipEncoding = "gzip"
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxRejectionBytes bounds the part of an answer's body that RejectedError keeps.
	maxRejectionBytes = 512
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	baseURL          string
	calls            pool // for all calls but watches
	watches          pool
	callTimeout      time.Duration
	maxAnswerBytes   int64
	noEffectStatuses []int // see WithNoEffectStatuses
	observeHeader    func(http.Header)
	watchCount       atomic.Int64 // watches begun
}

// pool is an HTTP client with connections of its own.
type pool struct {
	*http.Client
	large chan struct{} // is full while a large answer is being read
}

func newPool() pool {
	return pool{Client: &http.Client{Transport: newTransport(), CheckRedirect: NoRedirect}, large: make(chan struct{}, 1)}
}

// NoRedirect makes an HTTP client return a redirect instead of following it: another server's answer to another
// request says nothing of the one that was sent.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Option changes a setting of a Client.
type Option func(*Client)

// WithCallTimeout sets the timeout of every call other than a watch.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.callTimeout = d }
}

// WithMaxAnswerBytes sets the bound on the body of an answer.
func WithMaxAnswerBytes(n int64) Option {
	return func(c *Client) { c.maxAnswerBytes = n }
}

// WithNoEffectStatuses lists statuses other than 4xx that prove that a call took no effect.
// Such an answer fails with UnsentError instead of LostError.
func WithNoEffectStatuses(statuses ...int) Option {
	return func(c *Client) { c.noEffectStatuses = statuses }
}

// WithHeaderObserver sets a function that gets the header of every answer, whatever its status,
// before the call returns.
func WithHeaderObserver(observe func(http.Header)) Option {
	return func(c *Client) { c.observeHeader = observe }
}

// New returns a client of the platform at a base URL.
func New(baseURL string, opts ...Option) *Client {
	c := &Client{
		baseURL:        strings.TrimSuffix(baseURL, "/"),
		calls:          newPool(),
		watches:        newPool(),
		callTimeout:    DefaultCallTimeout,
		maxAnswerBytes: defaultMaxAnswerBytes,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

func newTransport() *stricthttp.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		// Keep-alive probes detect a dead connection on which a watch is waiting.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveMisses},
	}
	// It does not decompress; readBody does, as it bounds the bytes of both forms.
	return stricthttp.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// Close closes the idle pooled connections.
func (c *Client) Close() {
	c.calls.CloseIdleConnections()
	c.watches.CloseIdleConnections()
}

// Get reads an object. Errors: AbsentError, UnsentError, LostError, RejectedError, or an
// error that states why the object can't be decoded.
func (c *Client) Get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	a, err := c.Do(ctx, Call{Op: "get", Method: http.MethodGet, Path: objectPath(kind, name)})
	if err != nil {
		return object.Object{}, err
	}
	if a.Status == http.StatusNotFound {
		return object.Object{}, &AbsentError{Kind: kind, Name: name}
	}
	return a.object()
}

// Put writes an object if its current version is ifVersion; zero creates it. Errors:
// ConflictError, TooLargeError, UnsentError, LostError, RejectedError, or an object.RuleError
// if the value breaks a rule.
func (c *Client) Put(ctx context.Context, name string, ifVersion object.Version, value object.Value) (object.Object, error) {
	kind := value.Kind()
	if err := value.Check(); err != nil {
		return object.Object{}, errors.Wrapf(err, "%s %q", kind, name)
	}
	body, err := json.Marshal(value)
	if err != nil {
		return object.Object{}, errors.Wrapf(err, "encode %s %q: correct the value", kind, name)
	}
	if len(body) > object.MaxValueBytes {
		return object.Object{}, &TooLargeError{Kind: kind, Name: name, Bytes: len(body)}
	}
	a, err := c.Do(ctx, Call{
		Op: "put", Method: http.MethodPut, Path: objectPath(kind, name), Query: ifVersionQuery(ifVersion), Body: body,
	})
	if err != nil {
		return object.Object{}, err
	}
	if a.Status == http.StatusConflict {
		return object.Object{}, a.conflict(kind, name, ifVersion)
	}
	var e platformapi.Envelope
	if err := a.Decode(&e); err != nil {
		return object.Object{}, err
	}
	return object.Object{Kind: kind, Name: name, Version: object.Version(e.Version), Value: value}, nil
}

// Delete deletes an object if its current version is ifVersion. Errors: AbsentError,
// ConflictError, UnsentError, LostError, RejectedError.
func (c *Client) Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error {
	a, err := c.Do(ctx, Call{
		Op: "delete", Method: http.MethodDelete, Path: objectPath(kind, name), Query: ifVersionQuery(ifVersion),
	})
	if err != nil {
		return err
	}
	switch a.Status {
	case http.StatusNotFound:
		return &AbsentError{Kind: kind, Name: name}
	case http.StatusConflict:
		return a.conflict(kind, name, ifVersion)
	}
	return nil
}

// Hosts reads the host list. Errors: UnsentError, LostError, RejectedError.
func (c *Client) Hosts(ctx context.Context) ([]platformapi.Host, error) {
	a, err := c.Do(ctx, Call{Op: "hosts", Method: http.MethodGet, Path: platformapi.PathHosts})
	if err != nil {
		return nil, err
	}
	var list platformapi.HostList
	if err := a.Decode(&list); err != nil {
		return nil, err
	}
	return list.Hosts, nil
}

func objectPath(kind object.Kind, name string) string {
	return platformapi.PathObjects + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func ifVersionQuery(v object.Version) url.Values {
	return url.Values{"ifVersion": {strconv.FormatUint(uint64(v), 10)}}
}

// Call is one HTTP call of the platform's API.
type Call struct {
	Op     string // names the call in errors and metrics
	Method string
	Path   string
	Query  url.Values
	Body   []byte
}

// Answer is a complete answer with one of the statuses that Do returns.
type Answer struct {
	Op     string
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call within the call timeout. It returns answers with a status of 2xx, 404, 409
// or 410, which the caller must distinguish. Errors: UnsentError, LostError, RejectedError.
func (c *Client) Do(ctx context.Context, r Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.do(ctx, c.calls, r)
}

// DoWatch makes a call whose only timeout is that of its context. Watches have their own
// connections; after every watchesPerConnection watches the idle ones are closed. Results are
// those of Do.
func (c *Client) DoWatch(ctx context.Context, r Call) (Answer, error) {
	if c.watchCount.Add(1)%watchesPerConnection == 0 {
		c.watches.CloseIdleConnections()
	}
	return c.do(ctx, c.watches, r)
}

// do makes a call and counts its result. After a timeout it closes the idle connections.
func (c *Client) do(ctx context.Context, via pool, r Call) (Answer, error) {
	a, err := c.exchange(ctx, via, r)
	countCall(r.Op, err)
	if errors.Is(err, context.DeadlineExceeded) {
		// A timeout may mean that the connection is dead. The other pooled connections may
		// then be dead as well.
		via.CloseIdleConnections()
	}
	return a, err
}

func (c *Client) exchange(ctx context.Context, via pool, r Call) (Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	address := c.baseURL + r.Path
	if len(r.Query) > 0 {
		address += "?" + r.Query.Encode()
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, address, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, &UnsentError{Op: r.Op, Err: errors.Wrap(err, "correct the platform's URL")}
	}
	req.Header.Set("Accept-Encoding", gzipEncoding)
	resp, err := via.Do(req)
	if err != nil {
		if connected.Load() {
			return Answer{}, &LostError{Op: r.Op, Err: err}
		}
		return Answer{}, &UnsentError{Op: r.Op, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if c.observeHeader != nil {
		c.observeHeader(resp.Header)
	}
	body, err := c.readBody(ctx, via, resp)
	if err != nil {
		return Answer{}, &LostError{Op: r.Op, Err: err}
	}
	if slices.Contains(c.noEffectStatuses, resp.StatusCode) {
		return Answer{}, &UnsentError{Op: r.Op, Err: errors.Errorf("status %d", resp.StatusCode)}
	}
	return classifyAnswer(Answer{Op: r.Op, Status: resp.StatusCode, Header: resp.Header, Body: body})
}

// readBody reads the body of an answer. Many large ones at a time would take too much memory together.
func (c *Client) readBody(ctx context.Context, via pool, resp *http.Response) ([]byte, error) {
	from := io.Reader(http.MaxBytesReader(nil, resp.Body, c.maxAnswerBytes))
	if strings.EqualFold(resp.Header.Get("Content-Encoding"), gzipEncoding) {
		decompressed, err := gzip.NewReader(from)
		if err != nil {
			return nil, err
		}
		from = io.LimitReader(decompressed, c.maxAnswerBytes+1)
	}
	body, err := io.ReadAll(io.LimitReader(from, largeAnswerBytes))
	if err != nil || len(body) < largeAnswerBytes {
		return body, err
	}
	select {
	case via.large <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-via.large }()
	whole := bytes.NewBuffer(body)
	if _, err := whole.ReadFrom(from); err != nil {
		return nil, err
	}
	if int64(whole.Len()) > c.maxAnswerBytes {
		return nil, errors.Errorf("answer exceeds %d bytes", c.maxAnswerBytes)
	}
	return whole.Bytes(), nil
}

// classifyAnswer returns the answers that the caller handles, and an error for every other
// status: RejectedError for 4xx, LostError for the rest.
func classifyAnswer(a Answer) (Answer, error) {
	switch {
	case a.Status >= 200 && a.Status < 300:
		return a, nil
	case a.Status == http.StatusNotFound, a.Status == http.StatusConflict, a.Status == http.StatusGone:
		return a, nil
	case a.Status >= 400 && a.Status < 500:
		text := string(a.Body[:min(len(a.Body), maxRejectionBytes)])
		return Answer{}, &RejectedError{Op: a.Op, Status: a.Status, Message: text}
	}
	return Answer{}, &LostError{Op: a.Op, Err: errors.Errorf("status %d", a.Status)}
}

// Decode decodes the body of a successful answer. Errors: LostError if the body can't be
// decoded, RejectedError if the status is not 2xx.
func (a Answer) Decode(into any) error {
	return a.DecodeWith(func(body []byte) error { return json.Unmarshal(body, into) })
}

// DecodeWith is Decode with a function that decodes the body.
func (a Answer) DecodeWith(decode func(body []byte) error) error {
	if a.Status >= 300 {
		return &RejectedError{Op: a.Op, Status: a.Status, Message: string(a.Body[:min(len(a.Body), maxRejectionBytes)])}
	}
	if err := decode(a.Body); err != nil {
		return &LostError{Op: a.Op, Err: errors.Wrap(err, "decode answer")}
	}
	return nil
}

func (a Answer) object() (object.Object, error) {
	var e platformapi.Envelope
	if err := a.Decode(&e); err != nil {
		return object.Object{}, err
	}
	return decodeEnvelope(e)
}

func (a Answer) conflict(kind object.Kind, name string, ifVersion object.Version) error {
	var e platformapi.Envelope
	if err := json.Unmarshal(a.Body, &e); err != nil {
		return &LostError{Op: a.Op, Err: errors.Wrap(err, "decode answer")}
	}
	current := object.Object{Kind: kind, Name: name, Version: object.Version(e.Version)}
	o, err := decodeEnvelope(e)
	if err == nil {
		current.Value = o.Value
	}
	return &ConflictError{Kind: kind, Name: name, IfVersion: ifVersion, Current: current, Undecodable: err}
}

// decodeEnvelope decodes an object and checks its rules. The object has no value if the
// envelope has none. Its errors state the remedy.
func decodeEnvelope(e platformapi.Envelope) (object.Object, error) {
	o := object.Object{Kind: object.Kind(e.Kind), Name: e.Name, Version: object.Version(e.Version)}
	if len(e.Value) == 0 {
		return o, nil
	}
	v, err := object.New(o.Kind)
	if err != nil {
		return object.Object{}, err
	}
	if err := json.Unmarshal(e.Value, v); err != nil {
		return object.Object{}, errors.Wrapf(err, "decode %s %q: write it anew", e.Kind, e.Name)
	}
	if err := v.Check(); err != nil {
		return object.Object{}, errors.Wrapf(err, "%s %q: write it anew", e.Kind, e.Name)
	}
	o.Value = v
	return o, nil
}

func countCall(op string, err error) {
	metrics.GetOrCreateCounter(`rhubarbswitch_platform_calls_total{op="` + op + `",result="` + resultLabel(err) + `"}`).Inc()
}

func resultLabel(err error) string {
	if err == nil {
		return "answered"
	}
	if _, ok := errors.Into[*UnsentError](err); ok {
		return "unsent"
	}
	if _, ok := errors.Into[*RejectedError](err); ok {
		return "rejected"
	}
	return "lost"
}
