package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
)

// SendLimits sends a message about limits to the daemon at an address, host:port. It is sent once: the
// next message follows soon.
func (t *Notifier) SendLimits(ctx context.Context, address string, m hostlimit.Message) error {
	body, err := json.Marshal(encodeLimits(t.clock(), m))
	if err != nil {
		return errors.Wrap(err, "encode the limits")
	}
	return t.post(ctx, address, LimitsPath, "application/json", body)
}

// LimitsHandler returns the handler of messages about limits. It calls report with each, in times of
// the given clock.
func LimitsHandler(clock func() time.Duration, report func(hostlimit.Message)) http.Handler {
	return messageHandler("limits", maxLimitsBytes, func(m limitsMessage) { report(m.decode(clock())) })
}

// limitsMessage is a message with ages instead of times, as daemons have different clocks.
type limitsMessage struct {
	Daemon     string             `json:"daemon"`
	Demand     map[string]float64 `json:"demand,omitempty"`
	Statements []limitStatement   `json:"statements,omitempty"`
}

type limitStatement struct {
	Host        string  `json:"host"`
	Incarnation int64   `json:"incarnation"`
	InReport    bool    `json:"inReport,omitempty"`
	PerSecond   float64 `json:"perSecond,omitempty"`
	AgeMicros   int64   `json:"ageMicros"`
}

func encodeLimits(now time.Duration, m hostlimit.Message) limitsMessage {
	encoded := limitsMessage{Daemon: m.Daemon, Demand: m.Demand}
	for _, s := range m.Statements {
		encoded.Statements = append(encoded.Statements, limitStatement{s.Host, s.Incarnation, s.InReport, s.PerSecond, (now - s.AsOf).Microseconds()})
	}
	return encoded
}

// maxPerSecond bounds rates that other daemons state, so that sums of them stay finite.
const maxPerSecond = 1e9

func (m limitsMessage) decode(now time.Duration) hostlimit.Message {
	decoded := hostlimit.Message{Daemon: m.Daemon, Demand: m.Demand}
	for service, perSecond := range m.Demand {
		decoded.Demand[service] = min(max(0, perSecond), maxPerSecond)
	}
	for _, s := range m.Statements {
		asOf := now - boundedDuration(s.AgeMicros, time.Microsecond)
		decoded.Statements = append(decoded.Statements, hostlimit.Statement{Host: s.Host, Incarnation: s.Incarnation, InReport: s.InReport, PerSecond: min(max(0, s.PerSecond), maxPerSecond), AsOf: asOf})
	}
	return decoded
}
