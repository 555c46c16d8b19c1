package relay

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// SuspectPath is where a daemon is told of an engine that brings nothing.
	SuspectPath = "/suspects"
	// paramHost is the engine's host.
	paramHost = "host"
	// hostBytes bounds its name.
	hostBytes = 256
	// tellBound bounds telling: soon after, the report of the engine's group is due anyway.
	tellBound = 500 * time.Millisecond
	// tellIdle closes a connection over which nothing more is told.
	tellIdle = 5 * time.Second
)

// SuspectNotifier tells other daemons of engines that bring nothing.
type SuspectNotifier struct{ client *http.Client }

// NewSuspectNotifier returns a teller.
func NewSuspectNotifier() *SuspectNotifier {
	return &SuspectNotifier{client: &http.Client{Timeout: tellBound, Transport: &http.Transport{IdleConnTimeout: tellIdle, MaxIdleConnsPerHost: 1}}}
}

// Close closes the idle connections.
func (t *SuspectNotifier) Close() { t.client.CloseIdleConnections() }

// Notify tells the daemon at an address of an engine.
func (t *SuspectNotifier) Notify(ctx context.Context, address, host string) error {
	form := url.Values{paramHost: {host}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+SuspectPath, strings.NewReader(form))
	if err != nil {
		return errors.Wrap(err, "build the call")
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, hostBytes))
	return err
}

// SuspectHandler returns the handler of what others tell.
func SuspectHandler(heard func(host string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, 2*hostBytes)
		host := r.PostFormValue(paramHost)
		if host == "" || len(host) > hostBytes {
			http.Error(w, "name a host", http.StatusBadRequest)
			return
		}
		heard(host)
		w.WriteHeader(http.StatusNoContent)
	})
}
