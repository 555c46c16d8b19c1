package backend

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
)

const (
	// maxAnswerBytes is the size limit of an answer's body; a longer one is an error.
	maxAnswerBytes = 64 << 20
	// maxHeaderBytes is that of its header.
	maxHeaderBytes = 64 << 10
)

// Daemon is a backend that calls the operators' interface of one daemon.
type Daemon struct {
	base   *url.URL
	key    string
	client *http.Client
}

// NewDaemon returns a backend for the daemon at a base URL. If key is empty, requests carry no
// operator key. A call ends after callTimeout.
func NewDaemon(address, key string, tlsConfig *tls.Config, callTimeout time.Duration) (*Daemon, error) {
	base, err := url.Parse(address)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, errors.Errorf("daemon %q: give a base URL such as https://10.0.0.2:8444", address)
	}
	transport := stricthttp.NewTransport(&http.Transport{TLSClientConfig: tlsConfig, TLSHandshakeTimeout: callTimeout, MaxResponseHeaderBytes: maxHeaderBytes})
	return &Daemon{base: base, key: key, client: &http.Client{Transport: transport, Timeout: callTimeout, CheckRedirect: platform.NoRedirect}}, nil
}

// ForAddress returns a backend for the daemon at another address, with the same scheme,
// operator key and TLS settings.
func (d *Daemon) ForAddress(hostPort string) *Daemon {
	other := *d
	base := *d.base
	base.Host = hostPort
	other.base = &base
	return &other
}

// Get reads an object.
func (d *Daemon) Get(ctx context.Context, kind object.Kind, name string) (operatorapi.Object, error) {
	var o operatorapi.Object
	err := d.call(ctx, http.MethodGet, objectPath(kind, name), nil, nil, &o)
	return o, err
}

// Put writes an object if it still has the version ifVersion; 0 creates it.
func (d *Daemon) Put(ctx context.Context, kind object.Kind, name string, ifVersion object.Version, value json.RawMessage) (operatorapi.Object, error) {
	var o operatorapi.Object
	err := d.call(ctx, http.MethodPut, objectPath(kind, name), versionQuery("ifVersion", ifVersion), value, &o)
	return o, err
}

// Delete deletes an object if it still has the version ifVersion.
func (d *Daemon) Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error {
	return d.call(ctx, http.MethodDelete, objectPath(kind, name), versionQuery("ifVersion", ifVersion), nil, nil)
}

// List reads every object of a kind.
func (d *Daemon) List(ctx context.Context, kind object.Kind) ([]operatorapi.Object, error) {
	var list operatorapi.List
	err := d.call(ctx, http.MethodGet, operatorapi.PathObjects+url.PathEscape(string(kind)), nil, nil, &list)
	return list.Items, err
}

// Status reads the status of the system as the daemon knows it.
func (d *Daemon) Status(ctx context.Context) (operatorapi.Status, error) {
	var s operatorapi.Status
	err := d.call(ctx, http.MethodGet, operatorapi.PathStatus, nil, nil, &s)
	return s, err
}

// Trace reads the events that the daemon has recorded for a request.
func (d *Daemon) Trace(ctx context.Context, request string) (operatorapi.Trace, error) {
	var t operatorapi.Trace
	err := d.call(ctx, http.MethodGet, operatorapi.PathTrace+url.PathEscape(request), nil, nil, &t)
	return t, err
}

func objectPath(kind object.Kind, name string) string {
	return operatorapi.PathObjects + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func versionQuery(name string, v object.Version) url.Values {
	return url.Values{name: {strconv.FormatUint(uint64(v), 10)}}
}

func (d *Daemon) call(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := strings.TrimSuffix(d.base.String(), "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, bytes.NewReader(body))
	if err != nil {
		return &Unreachable{Where: d.base.String(), Err: err}
	}
	if d.key != "" {
		r.Header.Set("Authorization", "Bearer "+d.key)
	}
	answer, err := d.client.Do(r)
	if err != nil {
		return d.callError(method, connected.Load(), err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(http.MaxBytesReader(nil, answer.Body, maxAnswerBytes))
	if err != nil {
		return d.callError(method, true, err)
	}
	return decodeAnswer(answer.StatusCode, data, into)
}

// callError returns the error of a call without a complete answer. A write for which a
// connection was open may have taken effect, so its outcome is unknown.
func (d *Daemon) callError(method string, sent bool, err error) error {
	if sent && method != http.MethodGet {
		return unknownOutcome(method+" through "+d.base.String(), err)
	}
	return &Unreachable{Where: d.base.String(), Err: err}
}

// decodeAnswer decodes an answer into the value into, or returns the error that it contains.
func decodeAnswer(status int, data []byte, into any) error {
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		e := &operatorapi.Error{}
		if err := json.Unmarshal(data, e); err != nil || e.Code == "" {
			return errors.Errorf("status %d without a readable error: check that the URL is a daemon's operators' interface", status)
		}
		return e
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "answer can't be read: check that the URL is a daemon's operators' interface of this release")
	}
	return nil
}
