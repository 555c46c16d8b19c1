package peer

import "testing"

// FuzzDecodeMessage checks that no message type and payload make decodeMessage panic.
func FuzzDecodeMessage(f *testing.F) {
	for n := range byte(20) {
		f.Add(n, []byte{0xa0})
		f.Add(n, []byte{0xa1, 0x01, 0x80})
		f.Add(n, []byte{0xff, 0x00})
	}
	f.Fuzz(func(_ *testing.T, n byte, payload []byte) {
		_, _ = decodeMessage(messageType(n), payload)
	})
}
