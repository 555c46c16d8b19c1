package process

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// largeBody is as long as the site's configuration allows.
var largeBody = strings.Repeat("x", 4<<20)

// sendChunked sends a body without its length.
func (d *gatewayDaemon) sendChunked(client *http.Client, id, body string) (load.FrontedAnswer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callersAddress+"/write/1", io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return load.FrontedAnswer{}, err
	}
	request.Host = site.Host
	request.Header = http.Header{"X-Request-Id": {id}, "X-Credential": {site.Key}, "X-Deadline-Ms": {"8000"}}
	response, err := client.Do(request)
	if err != nil {
		return load.FrontedAnswer{Err: err}, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return load.FrontedAnswer{Status: response.StatusCode, Header: response.Header, Body: string(answer), Complete: err == nil, Err: err}, nil
}

// TestBodiesThatAreTooLargeOrLate guards against callers who lose the answer to a body that is not read to its end.
func TestBodiesThatAreTooLargeOrLate(t *testing.T) {
	f := newGatewayCluster(t, 1)
	d := f.daemons[0]
	for i, body := range []string{largeBody + "x", largeBody + largeBody} {
		a := d.requestWithBody(http.MethodPost, "/write/1", fmt.Sprintf("length-%d", i), body, nil)
		require.Equal(t, http.StatusRequestEntityTooLarge, a.Status, "%v", a.Err)
		a, err := d.sendChunked(&http.Client{Transport: &http.Transport{}}, fmt.Sprintf("chunked-%d", i), body)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, a.Status, "%v", a.Err)
	}
	for _, framing := range []string{"Content-Length: 100\r\n\r\nsome", "Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n"} {
		c, err := net.Dial("tcp", d.callersAddress)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "POST /write/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: late\r\nX-Credential: %s\r\nX-Deadline-Ms: 300\r\n%s", site.Host, site.Key, framing)
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		answer, err := io.ReadAll(c)
		require.NoError(t, err, "the connection is closed")
		require.Contains(t, string(answer), "HTTP/1.1 408")
	}
}
