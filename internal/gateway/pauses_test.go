package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSignalsDuringAPauseCountFromItsBegin guards against a stop that outlasts the grace since the process was paused.
func TestSignalsDuringAPauseCountFromItsBegin(t *testing.T) {
	const begin, end = 20 * time.Second, 23 * time.Second
	for _, firstActive := range []bool{true, false} { // the reducer runs before the receiver of signals, or after it
		var p pauses
		p.active(begin - time.Millisecond)
		require.Equal(t, begin-time.Millisecond+tickInterval, p.sentBy(begin-time.Millisecond+tickInterval), "no pause")
		p.active(begin)
		if firstActive {
			p.active(end)
		}
		require.Equal(t, begin, p.sentBy(end+time.Millisecond))
		for now := end + 2*time.Millisecond; now <= end+signalDelay+tickInterval; now += tickInterval {
			p.active(now)
		}
		require.Equal(t, end+signalDelay+tickInterval, p.sentBy(end+signalDelay+tickInterval), "sent after the pause")
	}
}

// TestShortDelaysAreNoPauses guards against streams that a stop cuts before the last part of the grace on a busy machine.
func TestShortDelaysAreNoPauses(t *testing.T) {
	var p pauses
	p.active(20 * time.Second)
	now := 20*time.Second + pauseThreshold - time.Millisecond
	require.Equal(t, now, p.sentBy(now))
	require.LessOrEqual(t, pauseThreshold, time.Second)
}
