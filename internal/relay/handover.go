package relay

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// A request that is handed over reaches the other daemon's links as the caller sent it, its key
// included, with the headers headerMaxRuns, headerCounted, headerService, headerConfigVersion and headerLeaving. The answer has the headers below in addition.
const (
	// HandoverPrefix begins the names of all these headers. Neither callers nor targets may set them.
	HandoverPrefix = "Rhubarbswitch-Handover-"
	// headerMaxRuns is how many attempts may run.
	headerMaxRuns = HandoverPrefix + "Max-Runs"
	// headerCounted is set if the request counts for the retry budget of the daemon that hands it over.
	headerCounted = HandoverPrefix + "Counted"
	// headerService is the escaped name of the service that the daemon has chosen for the request.
	headerService = HandoverPrefix + "Service"
	// headerConfigVersion is the oldest version of the configuration by which the request may run; in an answer, the
	// version of the daemon that took it.
	headerConfigVersion = HandoverPrefix + "Config-Version"
	// headerLeaving names a host that leaves, escaped, an equals sign and its incarnation; once for each.
	headerLeaving = HandoverPrefix + "Leaving"
	// headerRuns is how many have run by the time of the answer, or may have.
	headerRuns = HandoverPrefix + "Runs"
	// headerSent is how many attempts at hosts there have been, and headerReached how many of them may have reached
	// theirs.
	headerSent    = HandoverPrefix + "Sent"
	headerReached = HandoverPrefix + "Reached"
	// headerHost is the host that gave the answer; missing if it is the daemon's own.
	headerHost = HandoverPrefix + "Host"
	// headerCode, headerOutcome and headerRetryAfter describe an answer of the daemon's own.
	headerCode       = HandoverPrefix + "Code"
	headerOutcome    = HandoverPrefix + "Outcome"
	headerRetryAfter = HandoverPrefix + "Retry-After-Ms"
)

// ServesPath reports whether daemons of a release that takes no requests serve a path of their links themselves.
func ServesPath(path string) bool {
	return path == SuspectPath || path == EvidencePath || path == LimitsPath || strings.HasPrefix(path, PathPrefix)
}

// Handover is what a daemon says of a request that it hands over.
type Handover struct {
	// MaxRuns is how many attempts may run.
	MaxRuns int
	// Counted is set if the request counts for the retry budget of the daemon that hands it over.
	Counted bool
	// Service is the service that that daemon has chosen for the request; empty if it does not say.
	Service string
	// ConfigVersion is the oldest version of the configuration by which the request may run; zero if it does
	// not say.
	ConfigVersion int64
	// LeavingHosts are hosts that have told that daemon that they leave.
	LeavingHosts []step.LeavingHost
}

// ReadHandover reads what a daemon says of a request. It fails if the request is not one that is handed
// over.
func ReadHandover(h http.Header) (Handover, error) {
	runs, err := strconv.Atoi(h.Get(headerMaxRuns))
	if err != nil {
		return Handover{}, errors.Wrap(err, "read the attempts that may run")
	}
	o := Handover{MaxRuns: runs, Counted: h.Get(headerCounted) != ""}
	if version := h.Get(headerConfigVersion); version != "" {
		if o.ConfigVersion, err = strconv.ParseInt(version, 10, 64); err != nil {
			return Handover{}, errors.Wrap(err, "read the version of the configuration")
		}
	}
	if o.Service, err = url.QueryUnescape(h.Get(headerService)); err != nil {
		return Handover{}, errors.Wrap(err, "read the service")
	}
	for _, line := range h[headerLeaving] {
		name, number, _ := strings.Cut(line, "=")
		host, errName := url.QueryUnescape(name)
		incarnation, errNumber := strconv.ParseInt(number, 10, 64)
		if errName != nil || errNumber != nil {
			return Handover{}, errors.Errorf("read the hosts that leave: %q is not a host and its incarnation", line)
		}
		o.LeavingHosts = append(o.LeavingHosts, step.LeavingHost{Host: host, Incarnation: incarnation})
	}
	return o, nil
}

// Set marks a request as handed over.
func (o Handover) Set(h http.Header) {
	h.Set(headerMaxRuns, strconv.Itoa(o.MaxRuns))
	if o.Counted {
		h.Set(headerCounted, "1")
	}
	if o.Service != "" {
		h.Set(headerService, url.QueryEscape(o.Service))
	}
	if o.ConfigVersion > 0 {
		h.Set(headerConfigVersion, strconv.FormatInt(o.ConfigVersion, 10))
	}
	h.Del(headerLeaving)
	for _, l := range o.LeavingHosts {
		h.Add(headerLeaving, url.QueryEscape(l.Host)+"="+strconv.FormatInt(l.Incarnation, 10))
	}
}

// HandoverAnswer is what a daemon says of its answer to a request that was handed over.
type HandoverAnswer struct {
	// Host gave the answer; empty if it is the daemon's own.
	Host string
	// Runs is the number of attempts that have run, or may have.
	Runs int
	// Sent is the number of attempts at hosts, and Reached the number of those that may have reached theirs, refused ones
	// included. Daemons of earlier releases name neither; then both are Runs.
	Sent, Reached int
	// ConfigVersion is the version of the daemon's configuration, valid if Host is set; zero if the daemon
	// does not say.
	ConfigVersion int64
	// Own is the daemon's own answer, valid if Host is empty.
	Own step.Answer
}

// Set adds what the daemon says to the headers of its answer.
func (a HandoverAnswer) Set(h http.Header) {
	h.Set(headerRuns, strconv.Itoa(a.Runs))
	h.Set(headerSent, strconv.Itoa(a.Sent))
	h.Set(headerReached, strconv.Itoa(a.Reached))
	if a.Host != "" {
		h.Set(headerHost, a.Host)
		if a.ConfigVersion != 0 {
			h.Set(headerConfigVersion, strconv.FormatInt(a.ConfigVersion, 10))
		}
		return
	}
	outcome := a.Own.Outcome
	if outcome == "" {
		outcome = object.NotRun // refused before it was admitted
	}
	h.Set(headerCode, string(a.Own.Code))
	h.Set(headerOutcome, string(outcome))
	h.Set(headerRetryAfter, strconv.FormatInt(a.Own.RetryAfter.Milliseconds(), 10))
}

// ReadHandoverAnswer reads what a daemon says of its answer. It returns false if the answer says nothing:
// it may come from a daemon of a release that takes no requests.
func ReadHandoverAnswer(status int, h http.Header) (a HandoverAnswer, ok bool) {
	runs, err := strconv.Atoi(h.Get(headerRuns))
	if err != nil {
		return a, false
	}
	a.Host, a.Runs, a.Sent, a.Reached = h.Get(headerHost), runs, runs, runs
	if sent, err := strconv.Atoi(h.Get(headerSent)); err == nil {
		a.Sent = sent
	}
	if reached, err := strconv.Atoi(h.Get(headerReached)); err == nil {
		a.Reached = reached
	}
	if a.Host != "" {
		a.ConfigVersion, _ = strconv.ParseInt(h.Get(headerConfigVersion), 10, 64) // earlier releases don't set it
		return a, true
	}
	a.Own = step.Answer{Status: status, Code: step.Code(h.Get(headerCode)), Outcome: object.Outcome(h.Get(headerOutcome)), Message: "the daemon that was asked for it refused"}
	millis, err := strconv.ParseInt(h.Get(headerRetryAfter), 10, 64)
	if err != nil {
		return a, false
	}
	a.Own.RetryAfter = boundedDuration(millis, time.Millisecond)
	return a, true
}

// IsHandoverHeader reports whether a header is one of those between daemons.
func IsHandoverHeader(name string) bool {
	return len(name) >= len(HandoverPrefix) && strings.EqualFold(name[:len(HandoverPrefix)], HandoverPrefix)
}
