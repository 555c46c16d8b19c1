package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

func start(t *testing.T, o Options) (*Server, *httptest.Server) {
	t.Helper()
	stub := New(o)
	server := httptest.NewServer(stub.Handler())
	t.Cleanup(server.Close)
	return stub, server
}

func call(t *testing.T, method, url, body string) (int, []byte) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, text
}

func envelope(t *testing.T, text []byte) platformapi.Envelope {
	t.Helper()
	var e platformapi.Envelope
	require.NoError(t, json.Unmarshal(text, &e))
	return e
}

func TestConditionalWrites(t *testing.T) {
	stub, server := start(t, Options{})
	path := server.URL + "/v1/objects/lease/a"
	status, _ := call(t, "GET", path, "")
	require.Equal(t, http.StatusNotFound, status)

	status, text := call(t, "PUT", path+"?ifVersion=0", `{"n":1}`)
	require.Equal(t, http.StatusOK, status)
	first := envelope(t, text)

	status, text = call(t, "PUT", path+"?ifVersion=0", `{"n":2}`)
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, first, envelope(t, text))

	status, text = call(t, "DELETE", fmt.Sprintf("%s?ifVersion=%d", path, first.Version), "")
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, envelope(t, text).Value)
	require.Greater(t, envelope(t, text).Version, first.Version)
	require.EqualValues(t, 1, stub.Stats().Conflicts)
}

func TestValueLimit(t *testing.T) {
	_, server := start(t, Options{})
	value := `"` + string(bytes.Repeat([]byte("x"), maxValueBytes)) + `"`
	status, _ := call(t, "PUT", server.URL+"/v1/objects/claim/a?ifVersion=0", value)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
}

func TestPages(t *testing.T) {
	_, server := start(t, Options{})
	for i := range 5 {
		call(t, "PUT", fmt.Sprintf("%s/v1/objects/model/m%d?ifVersion=0", server.URL, i), `{}`)
	}
	var names []string
	after := ""
	for {
		_, text := call(t, "GET", server.URL+"/v1/objects/model?limit=2&after="+after, "")
		var page platformapi.Page
		require.NoError(t, json.Unmarshal(text, &page))
		for _, e := range page.Items {
			names = append(names, e.Name)
		}
		if after = page.Next; after == "" {
			break
		}
	}
	require.Equal(t, []string{"m0", "m1", "m2", "m3", "m4"}, names)
}

func TestWatch(t *testing.T) {
	stub, server := start(t, Options{History: 2})
	go func() {
		for stub.Stats().Watches == 0 {
			time.Sleep(time.Millisecond)
		}
		stub.store.put("lease", "skipped", 0, json.RawMessage(`{}`))
		stub.store.put("model", "a", 0, json.RawMessage(`{}`))
	}()
	status, text := call(t, "GET", server.URL+"/v1/watch?kinds=model,host&from=0&waitMillis=30000", "")
	require.Equal(t, http.StatusOK, status)
	var batch platformapi.WatchBatch
	require.NoError(t, json.Unmarshal(text, &batch))
	require.Len(t, batch.Changes, 1)
	require.EqualValues(t, 2, batch.Revision)

	stub.store.put("model", "b", 0, json.RawMessage(`{}`))
	status, _ = call(t, "GET", server.URL+"/v1/watch?kinds=model&from=0&waitMillis=1", "")
	require.Equal(t, http.StatusGone, status)
	status, _ = call(t, "GET", server.URL+"/v1/watch?kinds=model&from=3&waitMillis=1", "")
	require.Equal(t, http.StatusOK, status)
}

func TestLostWriteAnswer(t *testing.T) {
	stub, server := start(t, Options{})
	stub.SetFaults(Faults{LoseWriteAnswers: 1})
	request, err := http.NewRequest("PUT", server.URL+"/v1/objects/claim/a?ifVersion=0", strings.NewReader(`{}`))
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(request)
	require.Error(t, err)
	status, _ := call(t, "GET", server.URL+"/v1/objects/claim/a", "")
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, stub.Stats().LostAnswers)
}

func TestDown(t *testing.T) {
	_, server := start(t, Options{})
	status, _ := call(t, "POST", server.URL+PathFaults, `{"down":"refuse"}`)
	require.Equal(t, http.StatusNoContent, status)
	status, _ = call(t, "GET", server.URL+platformapi.PathHosts, "")
	require.Equal(t, http.StatusServiceUnavailable, status)

	call(t, "POST", server.URL+PathFaults, `{"down":"hang"}`)
	time.AfterFunc(50*time.Millisecond, func() { _, _ = http.Post(server.URL+PathFaults, "", strings.NewReader(`{}`)) })
	status, _ = call(t, "GET", server.URL+platformapi.PathHosts, "")
	require.Equal(t, http.StatusOK, status)
}

func TestHostsAppearAfterLag(t *testing.T) {
	stub, server := start(t, Options{Hosts: []platformapi.Host{{Name: "a"}}})
	stub.SetHosts(HostsUpdate{Hosts: []platformapi.Host{{Name: "b"}}, LagMillis: 30})
	_, text := call(t, "GET", server.URL+platformapi.PathHosts, "")
	require.Contains(t, string(text), `"a"`)
	require.Eventually(t, func() bool {
		_, text := call(t, "GET", server.URL+platformapi.PathHosts, "")
		return strings.Contains(string(text), `"b"`)
	}, 10*time.Second, 5*time.Millisecond)
}
