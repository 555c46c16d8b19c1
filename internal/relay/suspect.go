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
	// SuspectPath is the HTTP path on which a daemon is notified of an engine that has
	// stalled.
	SuspectPath = "/suspects"
	// hostParam is the form parameter with the engine's host.
	hostParam = "host"
	// maxHostBytes bounds the name of the host; a longer one is refused.
	maxHostBytes = 256
	// notifyTimeout bounds a notification. A later one is useless, because the next report of
	// the engine's group is due soon after.
	notifyTimeout = 500 * time.Millisecond
	// notifyIdleTimeout closes a connection that carries no further notification.
	notifyIdleTimeout = 5 * time.Second
)

// SuspectNotifier notifies other daemons of engines that have stalled. It is safe for
// concurrent use.
type SuspectNotifier struct{ client *http.Client }

func NewSuspectNotifier() *SuspectNotifier {
	return &SuspectNotifier{client: &http.Client{Timeout: notifyTimeout, Transport: &http.Transport{IdleConnTimeout: notifyIdleTimeout, MaxIdleConnsPerHost: 1}}}
}

// Close closes the idle connections.
func (t *SuspectNotifier) Close() { t.client.CloseIdleConnections() }

// Notify reports the engine on a host as suspected to the daemon at an address, host:port.
func (t *SuspectNotifier) Notify(ctx context.Context, address, host string) error {
	form := url.Values{hostParam: {host}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+SuspectPath, strings.NewReader(form))
	if err != nil {
		return errors.Wrap(err, "build the request")
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
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHostBytes))
	return err
}

// SuspectHandler returns the handler of such notifications. It calls report with the host of
// each.
func SuspectHandler(report func(host string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, 2*maxHostBytes)
		host := r.PostFormValue(hostParam)
		if host == "" || len(host) > maxHostBytes {
			http.Error(w, "name a host", http.StatusBadRequest)
			return
		}
		report(host)
		w.WriteHeader(http.StatusNoContent)
	})
}
