package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// messageType is the number of a message's type on the wire. Numbers are never reused, and
// a receiver skips messages whose number it does not know.
type messageType uint16

const (
	msgKeepAlive     messageType = 0
	msgHeartbeat     messageType = 1
	msgConfigAsk     messageType = 2
	msgConfigDelta   messageType = 3
	msgDigest        messageType = 4
	msgSuspect       messageType = 5
	msgClaimAsk      messageType = 6
	msgClaimReply    messageType = 7
	msgGoodbye       messageType = 8
	msgUsageHandoff  messageType = 9
	msgAddresses     messageType = 10
	msgUsageTaken    messageType = 11
	messageTypeCount messageType = 12 // one more than the highest number in use
)

// messageTypeNames are the values of the metrics' message label.
var messageTypeNames = [messageTypeCount]string{
	"keepalive", "heartbeat", "config_ask", "config_delta", "digest", "suspect",
	"claim_ask", "claim_reply", "goodbye", "usage_handoff", "addresses",
	"usage_taken",
}

// envelope is one message on the wire, encoded as a CBOR array.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Type    messageType
	Payload cbor.RawMessage
}

func messageTypeOf(m step.Message) (messageType, error) {
	switch m.(type) {
	case step.Heartbeat:
		return msgHeartbeat, nil
	case step.ConfigAsk:
		return msgConfigAsk, nil
	case step.ConfigDelta:
		return msgConfigDelta, nil
	case step.Digest:
		return msgDigest, nil
	case step.Suspect:
		return msgSuspect, nil
	case step.ClaimAsk:
		return msgClaimAsk, nil
	case step.ClaimReply:
		return msgClaimReply, nil
	case step.Goodbye:
		return msgGoodbye, nil
	case step.UsageHandoff:
		return msgUsageHandoff, nil
	case step.UsageTaken:
		return msgUsageTaken, nil
	}
	return 0, errors.Errorf("message %T has no number: give it one in package peer", m)
}

// frame is an encoded message; data is its envelope.
type frame struct {
	typ  messageType
	data []byte
}

func encodeMessage(m step.Message) (frame, error) {
	n, err := messageTypeOf(m)
	if err != nil {
		return frame{}, err
	}
	return encodeFrame(n, m)
}

func encodeFrame(n messageType, payload any) (frame, error) {
	raw, err := cbor.Marshal(payload)
	if err != nil {
		return frame{}, errors.Wrapf(err, "encode %T", payload)
	}
	b, err := cbor.Marshal(envelope{Type: n, Payload: raw})
	if err != nil {
		return frame{}, errors.Wrapf(err, "encode %T", payload)
	}
	if len(b) > MaxMessageBytes {
		return frame{}, errors.Errorf("%T has %d bytes: split it, the bound is %d", payload, len(b), MaxMessageBytes)
	}
	return frame{typ: n, data: b}, nil
}

// decodeMessage decodes the payload of an envelope. It returns a nil message for a type that
// this release does not know.
func decodeMessage(n messageType, payload []byte) (step.Message, error) {
	switch n {
	case msgHeartbeat:
		return decodeAs[step.Heartbeat](payload)
	case msgConfigAsk:
		return decodeAs[step.ConfigAsk](payload)
	case msgConfigDelta:
		return decodeAs[step.ConfigDelta](payload)
	case msgDigest:
		return decodeAs[step.Digest](payload)
	case msgSuspect:
		return decodeAs[step.Suspect](payload)
	case msgClaimAsk:
		return decodeAs[step.ClaimAsk](payload)
	case msgClaimReply:
		return decodeAs[step.ClaimReply](payload)
	case msgGoodbye:
		return decodeAs[step.Goodbye](payload)
	case msgUsageHandoff:
		return decodeAs[step.UsageHandoff](payload)
	case msgUsageTaken:
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

// counters count the messages and bytes of one direction by message type. Messages of
// unknown types only add to unknownBytes.
type counters struct {
	bytes        [messageTypeCount]*metrics.Counter
	messages     [messageTypeCount]*metrics.Counter
	unknownBytes *metrics.Counter
}

func newCounters(direction string) *counters {
	c := &counters{unknownBytes: metrics.GetOrCreateCounter(fmt.Sprintf(
		`rhubarbswitch_peer_bytes_total{direction=%q,message="other"}`, direction))}
	for n := range messageTypeCount {
		labels := fmt.Sprintf(`{direction=%q,message=%q}`, direction, messageTypeNames[n])
		c.bytes[n] = metrics.GetOrCreateCounter("rhubarbswitch_peer_bytes_total" + labels)
		c.messages[n] = metrics.GetOrCreateCounter("rhubarbswitch_peer_messages_total" + labels)
	}
	return c
}

func (c *counters) count(n messageType, size int) {
	if n >= messageTypeCount {
		c.unknownBytes.Add(size)
		return
	}
	c.bytes[n].Add(size)
	c.messages[n].Inc()
}

var (
	sentCounters     = newCounters("out")
	receivedCounters = newCounters("in")
	undecodable      = metrics.GetOrCreateCounter("rhubarbswitch_peer_undecodable_total")
	droppedMessages  = metrics.GetOrCreateCounter("rhubarbswitch_peer_dropped_total")
)
