package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	client "github.com/rhubarbswitch/rhubarbswitch/internal/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
)

const (
	// SuspectPath is the HTTP path on which a daemon is notified of an engine that has
	// stalled.
	SuspectPath = "/suspects"
	// EvidencePath is the HTTP path on which a daemon gets evidence on crashes.
	EvidencePath = "/evidence"
	// LimitsPath is the HTTP path on which a daemon gets limits of hosts and the demand of another one.
	LimitsPath = "/limits"
	// hostParam is the form parameter with the engine's host.
	hostParam = "host"
	// maxHostBytes bounds the name of the host; a longer one is refused.
	maxHostBytes = 256
	// maxEvidenceBytes bounds the evidence of one message. A crash has at most 64 suspects of
	// some 30 bytes each.
	maxEvidenceBytes = 256 << 10
	// maxLimitsBytes bounds a message about limits.
	maxLimitsBytes = 256 << 10
	// notifyTimeout bounds a notification. A suspicion that is later is useless, because the
	// next report of the engine's group is due soon after.
	notifyTimeout = 500 * time.Millisecond
	// messageTimeout bounds the reading of a message.
	messageTimeout = 2 * time.Second
	// maxHeaderBytes bounds the header of the answer to a message.
	maxHeaderBytes = 16 << 10
	// notifyIdleTimeout closes a connection that carries no further notification.
	notifyIdleTimeout = 5 * time.Second
	// evidenceTries is how often evidence is sent to a daemon that does not answer, with
	// evidenceRetryDelay between two tries.
	evidenceTries      = 3
	evidenceRetryDelay = 250 * time.Millisecond
)

// Notifier notifies other daemons of engines that have stalled and of hosts that have crashed.
// It is safe for concurrent use.
type Notifier struct {
	client *http.Client
	clock  func() time.Duration
}

// NewNotifier returns a notifier of a daemon with a monotonic clock.
func NewNotifier(clock func() time.Duration) *Notifier {
	return &Notifier{clock: clock, client: &http.Client{Timeout: notifyTimeout, CheckRedirect: client.NoRedirect, Transport: stricthttp.NewTransport(&http.Transport{
		IdleConnTimeout: notifyIdleTimeout, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeaderBytes,
	})}}
}

// Close closes the idle connections.
func (t *Notifier) Close() { t.client.CloseIdleConnections() }

// NotifySuspect reports the engine on a host as suspected to the daemon at an address, host:port.
func (t *Notifier) NotifySuspect(ctx context.Context, address, host string) error {
	return t.post(ctx, address, SuspectPath, "application/x-www-form-urlencoded", []byte(url.Values{hostParam: {host}}.Encode()))
}

// refusedError is the answer of a daemon that does not take a message: a repetition would get the same.
type refusedError struct{ status int }

func (e *refusedError) Error() string {
	return "status " + strconv.Itoa(e.status) + ": the daemon takes no such message; it may be of an earlier release"
}

// SendEvidence sends evidence to the daemon at an address, host:port. It tries again if that
// daemon does not answer, or fails.
func (t *Notifier) SendEvidence(ctx context.Context, address string, e quarantine.Evidence) error {
	var err error
	for try := range evidenceTries {
		if try > 0 {
			client.Sleep(ctx, evidenceRetryDelay)
		}
		var body []byte
		if body, err = json.Marshal(encodeEvidence(t.clock(), e)); err != nil {
			return errors.Wrap(err, "encode the evidence")
		}
		if err = t.post(ctx, address, EvidencePath, "application/json", body); err == nil {
			return nil
		}
		if _, refused := errors.Into[*refusedError](err); refused {
			return err
		}
	}
	return err
}

func (t *Notifier) post(ctx context.Context, address, path, contentType string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build the request")
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		return &refusedError{resp.StatusCode}
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHostBytes))
	return err
}

// boundedMessage returns the body of a message, whose reading fails beyond maxBytes or messageTimeout.
func boundedMessage(w http.ResponseWriter, r *http.Request, maxBytes int64) io.ReadCloser {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(messageTimeout)) // fails only on a closed connection
	return http.MaxBytesReader(w, r.Body, maxBytes)
}

// SuspectHandler returns the handler of notifications about engines. It calls report with the
// host of each.
func SuspectHandler(report func(host string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = boundedMessage(w, r, 2*maxHostBytes)
		host := r.PostFormValue(hostParam)
		if host == "" || len(host) > maxHostBytes {
			http.Error(w, "name a host", http.StatusBadRequest)
			return
		}
		report(host)
		w.WriteHeader(http.StatusNoContent)
	})
}

// EvidenceHandler returns the handler of evidence. It calls report with each, in times of the
// given clock.
func EvidenceHandler(clock func() time.Duration, report func(quarantine.Evidence)) http.Handler {
	return messageHandler("evidence", maxEvidenceBytes, func(m evidenceMessage) { report(m.decode(clock())) })
}

// messageHandler returns the handler of messages of one kind, of so many bytes at most. It calls take
// with each.
func messageHandler[M any](kind string, maxBytes int64, take func(M)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var m M
		if err := json.NewDecoder(boundedMessage(w, r, maxBytes)).Decode(&m); err != nil {
			http.Error(w, "send "+kind+" as JSON: "+strings.ToValidUTF8(err.Error(), "?"), http.StatusBadRequest)
			return
		}
		take(m)
		w.WriteHeader(http.StatusNoContent)
	})
}

// evidenceMessage is evidence with ages instead of times, as daemons have different clocks.
type evidenceMessage struct {
	Crashes   []crashMessage   `json:"crashes,omitempty"`
	Uncertain []crashMessage   `json:"uncertain,omitempty"`
	Successes []successMessage `json:"successes,omitempty"`
	Trials    []trialMessage   `json:"trials,omitempty"`
}

type crashMessage struct {
	Host        string                   `json:"host"`
	Incarnation int64                    `json:"incarnation"`
	AgeMillis   int64                    `json:"ageMillis"`
	Begun       bool                     `json:"begun,omitempty"`
	Suspects    []quarantine.Fingerprint `json:"suspects"`
}

type successMessage struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	AgeMillis   int64                  `json:"ageMillis"`
}

type trialMessage struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	AgeMillis   int64                  `json:"ageMillis"`
	Void        bool                   `json:"void,omitempty"`
}

func encodeEvidence(now time.Duration, e quarantine.Evidence) evidenceMessage {
	var m evidenceMessage
	m.Crashes, m.Uncertain = encodeCrashes(now, e.Crashes), encodeCrashes(now, e.Uncertain)
	for _, s := range e.Successes {
		m.Successes = append(m.Successes, successMessage{s.Fingerprint, (now - s.At).Milliseconds()})
	}
	for _, t := range e.Trials {
		m.Trials = append(m.Trials, trialMessage{t.Fingerprint, (now - t.At).Milliseconds(), t.Void})
	}
	return m
}

func encodeCrashes(now time.Duration, crashes []quarantine.Crash) []crashMessage {
	var messages []crashMessage
	for _, c := range crashes {
		messages = append(messages, crashMessage{c.Host, c.Incarnation, (now - c.At).Milliseconds(), c.Begun, c.Suspects})
	}
	return messages
}

// maxStatedDuration bounds the ages and delays that other daemons state, so that sums with times do not overflow.
const maxStatedDuration = 24 * time.Hour

// boundedDuration returns a duration of so many units, from zero to maxStatedDuration.
func boundedDuration(n int64, unit time.Duration) time.Duration {
	return time.Duration(min(max(0, n), int64(maxStatedDuration/unit))) * unit
}

func (m evidenceMessage) decode(now time.Duration) quarantine.Evidence {
	var e quarantine.Evidence
	at := func(ageMillis int64) time.Duration { return now - boundedDuration(ageMillis, time.Millisecond) }
	decode := func(messages []crashMessage) (crashes []quarantine.Crash) {
		for _, c := range messages {
			crashes = append(crashes, quarantine.Crash{Host: c.Host, Incarnation: c.Incarnation, At: at(c.AgeMillis), Begun: c.Begun, Suspects: c.Suspects})
		}
		return crashes
	}
	e.Crashes, e.Uncertain = decode(m.Crashes), decode(m.Uncertain)
	for _, s := range m.Successes {
		e.Successes = append(e.Successes, quarantine.Success{Fingerprint: s.Fingerprint, At: at(s.AgeMillis)})
	}
	for _, t := range m.Trials {
		e.Trials = append(e.Trials, quarantine.Trial{Fingerprint: t.Fingerprint, At: at(t.AgeMillis), Void: t.Void})
	}
	return e
}
