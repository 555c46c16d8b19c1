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

// control speaks to the stand-ins' own interfaces and the daemons' operators'.
var control = &http.Client{Timeout: 10 * time.Second}

func tryGet[T any](address, path string) (T, error) {
	var value T
	response, err := control.Get("http://" + address + path)
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

func get[T any](t *testing.T, address, path string) T {
	t.Helper()
	value, err := tryGet[T](address, path)
	require.NoError(t, err)
	return value
}

func send(t *testing.T, method, address, path string, value any) []byte {
	t.Helper()
	body, err := json.Marshal(value)
	require.NoError(t, err)
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	require.NoError(t, err)
	response, err := control.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Less(t, response.StatusCode, http.StatusMultipleChoices, "%s %s: %s", method, path, text)
	return text
}
