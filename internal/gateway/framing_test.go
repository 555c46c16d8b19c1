package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestFramingCountsRequests reads requests in pieces of any size.
func TestFramingCountsRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var f requestFraming
		for n := range rapid.IntRange(1, 5).Draw(rt, "requests") {
			require.EqualValues(rt, n, f.begun.Load(), "nothing of the next request has been read")
			body := rapid.SampledFrom([]string{"", "x", "\n", "GET / HTTP/1.1\r\n\r\n", strings.Repeat("\r\n0\r\n\r\n", 40)}).Draw(rt, "body")
			text := "POST /" + strings.Repeat("p", rapid.SampledFrom([]int{0, 400}).Draw(rt, "path")) + " HTTP/1.1\r\nHost: h\r\n"
			switch rapid.IntRange(0, 2).Draw(rt, "framing") {
			case 0:
				text += fmt.Sprintf("content-length:  %d \r\n\r\n%s", len(body), body)
			case 1:
				text += "Transfer-Encoding: chunked\r\n\r\n"
				for piece := range strings.SplitSeq(body, "0") {
					if piece != "" {
						text += fmt.Sprintf("%X;ext=1\r\n%s\r\n", len(piece), piece)
					}
				}
				text += "0\r\n" + rapid.SampledFrom([]string{"", "Trailer: x\r\n"}).Draw(rt, "trailer") + "\r\n"
			default:
				text += "\r\n"
			}
			text += rapid.SampledFrom([]string{"", "\r\n"}).Draw(rt, "line break")
			for len(text) > 0 {
				size := rapid.IntRange(1, len(text)).Draw(rt, "bytes")
				f.read([]byte(text[:size]))
				text = text[size:]
				require.EqualValues(rt, n+1, f.begun.Load())
			}
		}
	})
}

// TestFramingThatIsNotUnderstood guards against bytes of a refused request that count as further requests.
func TestFramingThatIsNotUnderstood(t *testing.T) {
	for _, header := range []string{"Content-Length: -1", "Content-Length: x", "Content-Length: 99999999999999999999", "Transfer-Encoding: gzip"} {
		var f requestFraming
		f.read([]byte("POST / HTTP/1.1\r\n" + header + "\r\n\r\nwhat follows\r\n\r\nfurther\r\n"))
		require.EqualValues(t, 1, f.begun.Load(), header)
	}
}
