package process

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// controlClient calls the control interfaces of the stubs and the operator interfaces of
// the daemons.
var controlClient = &http.Client{Timeout: 10 * time.Second}

// tryGetJSON reads and decodes a JSON value. Any status but 200 is an error.
func tryGetJSON[T any](address, path string) (T, error) {
	var value T
	response, err := controlClient.Get("http://" + address + path)
	if err != nil {
		return value, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return value, errors.Errorf("%s: %s: %s", path, response.Status, text)
	}
	return value, json.NewDecoder(response.Body).Decode(&value)
}

// getJSON is tryGetJSON, but fails the test on an error.
func getJSON[T any](t *testing.T, address, path string) T {
	t.Helper()
	value, err := tryGetJSON[T](address, path)
	require.NoError(t, err)
	return value
}

// sendJSON sends a value as JSON and returns the body of the answer. The test fails on an
// error or a status of 300 or above.
func sendJSON(t *testing.T, method, address, path string, value any) []byte {
	t.Helper()
	body, err := json.Marshal(value)
	require.NoError(t, err)
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	require.NoError(t, err)
	response, err := controlClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Less(t, response.StatusCode, http.StatusMultipleChoices, "%s %s: %s", method, path, text)
	return text
}
