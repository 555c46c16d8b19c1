package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// number is a message's type on the wire. Numbers are never reused.
type number uint16

const (
	numKeepAlive    number = 0
	numHeartbeat    number = 1
	numConfigAsk    number = 2
	numConfigDelta  number = 3
	numDigest       number = 4
	numSuspect      number = 5
	numClaimAsk     number = 6
	numClaimReply   number = 7
	numGoodbye      number = 8
	numUsageHandoff number = 9
	numAddresses    number = 10
	numUsageTaken   number = 11
	numbers         number = 12
)

var numberNames = [numbers]string{
	"keepalive", "heartbeat", "config_ask", "config_delta", "digest", "suspect",
	"claim_ask", "claim_reply", "goodbye", "usage_handoff", "addresses",
	"usage_taken",
}

// envelope is one message on the wire, as an array.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Number  number
	Payload cbor.RawMessage
}

func numberOf(m step.Message) (number, error) {
	switch m.(type) {
	case step.Heartbeat:
		return numHeartbeat, nil
	case step.ConfigAsk:
		return numConfigAsk, nil
	case step.ConfigDelta:
		return numConfigDelta, nil
	case step.Digest:
		return numDigest, nil
	case step.Suspect:
		return numSuspect, nil
	case step.ClaimAsk:
		return numClaimAsk, nil
	case step.ClaimReply:
		return numClaimReply, nil
	case step.Goodbye:
		return numGoodbye, nil
	case step.UsageHandoff:
		return numUsageHandoff, nil
	case step.UsageTaken:
		return numUsageTaken, nil
	}
	return 0, errors.Errorf("message %T has no number: give it one in package peer", m)
}

// frame is an encoded message.
type frame struct {
	number number
	bytes  []byte
}

func encodeMessage(m step.Message) (frame, error) {
	n, err := numberOf(m)
	if err != nil {
		return frame{}, err
	}
	return encodeFrame(n, m)
}

func encodeFrame(n number, payload any) (frame, error) {
	raw, err := cbor.Marshal(payload)
	if err != nil {
		return frame{}, errors.Wrapf(err, "encode %T", payload)
	}
	b, err := cbor.Marshal(envelope{Number: n, Payload: raw})
	if err != nil {
		return frame{}, errors.Wrapf(err, "encode %T", payload)
	}
	if len(b) > MaxMessageBytes {
		return frame{}, errors.Errorf("%T has %d bytes: split it, the bound is %d", payload, len(b), MaxMessageBytes)
	}
	return frame{number: n, bytes: b}, nil
}

// decodeMessage reads a payload; a nil message is of a type that this release does not know.
func decodeMessage(n number, payload []byte) (step.Message, error) {
	switch n {
	case numHeartbeat:
		return decodeAs[step.Heartbeat](payload)
	case numConfigAsk:
		return decodeAs[step.ConfigAsk](payload)
	case numConfigDelta:
		return decodeAs[step.ConfigDelta](payload)
	case numDigest:
		return decodeAs[step.Digest](payload)
	case numSuspect:
		return decodeAs[step.Suspect](payload)
	case numClaimAsk:
		return decodeAs[step.ClaimAsk](payload)
	case numClaimReply:
		return decodeAs[step.ClaimReply](payload)
	case numGoodbye:
		return decodeAs[step.Goodbye](payload)
	case numUsageHandoff:
		return decodeAs[step.UsageHandoff](payload)
	case numUsageTaken:
		return decodeAs[step.UsageTaken](payload)
	}
	return nil, nil
}

func decodeAs[T step.Message](payload []byte) (step.Message, error) {
	var m T
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrapf(err, "decode %T", m)
	}
	return m, nil
}

// counters count messages and bytes by type and direction.
type counters struct {
	bytes    [numbers]*metrics.Counter
	messages [numbers]*metrics.Counter
	other    *metrics.Counter
}

func newCounters(direction string) *counters {
	c := &counters{other: metrics.GetOrCreateCounter(fmt.Sprintf(
		`rhubarbswitch_peer_bytes_total{direction=%q,message="other"}`, direction))}
	for n := range numbers {
		labels := fmt.Sprintf(`{direction=%q,message=%q}`, direction, numberNames[n])
		c.bytes[n] = metrics.GetOrCreateCounter("rhubarbswitch_peer_bytes_total" + labels)
		c.messages[n] = metrics.GetOrCreateCounter("rhubarbswitch_peer_messages_total" + labels)
	}
	return c
}

func (c *counters) count(n number, size int) {
	if n >= numbers {
		c.other.Add(size)
		return
	}
	c.bytes[n].Add(size)
	c.messages[n].Inc()
}

var (
	sent     = newCounters("out")
	received = newCounters("in")
	broken   = metrics.GetOrCreateCounter("rhubarbswitch_peer_undecodable_total")
	dropped  = metrics.GetOrCreateCounter("rhubarbswitch_peer_dropped_total")
)
