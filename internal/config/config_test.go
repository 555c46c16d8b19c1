package config

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const minimal = `{
	// Only the required settings.
	"cluster": "walvis",
	"daemon": "d1",
	"dataCentre": "erongo-1",
	"callers": {"listen": "127.0.0.1:8080"},
	"operators": {"listen": "127.0.0.1:8081"},
	"peers": {"listen": "127.0.0.1:8082", "key": {"env": "PEER_KEY"}},
	"platform": {"address": "http://127.0.0.1:7000"},
}`

func TestMinimalSettingsFillDefaults(t *testing.T) {
	s, err := Parse([]byte(minimal))
	require.NoError(t, err)
	require.Equal(t, "walvis", s.Cluster)
	require.Equal(t, 2*time.Second, s.Platform.CallTimeout.D())
	require.Equal(t, 0.1, s.Retry.BudgetShare)
}

func TestRefusalsNamePlaceAndRemedy(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", `"daemon"`, `"deamon"`, `line 4, column 2: deamon: this field is not known`},
		{"field twice", `"daemon": "d1"`, `"daemon": "d1", "daemon": "d2"`, `line 4, column 18: daemon: this field stands twice`},
		{"number for duration", `"daemon": "d1"`, `"daemon": "d1", "shutdownTimeout": 5`, `shutdownTimeout: give a duration as a string with its unit`},
		{"duration without unit", `"daemon": "d1"`, `"daemon": "d1", "shutdownTimeout": "5"`, `shutdownTimeout: give a duration as a string with its unit`},
		{"out of bounds", `"daemon": "d1"`, `"daemon": "d1", "shutdownTimeout": "5ms"`, `line 4, column 37: shutdownTimeout: use 1s to 24h, not 5ms`},
		{"contradiction", `"daemon": "d1"`, `"daemon": "d1", "lease": {"duration": "1s"}`, `lease.duration: use more than platform.callTimeout (2s)`},
		{"contradiction within claims", `"daemon": "d1"`, `"daemon": "d1", "claims": {"retention": "1m", "window": "40s"}`, `line 4, column 42: claims.retention: use at least twice`},
		{"missing name", `"dataCentre": "erongo-1",`, ``, `line 1, column 1: dataCentre: give a name`},
		{"open operators", `127.0.0.1:8081`, `0.0.0.0:8081`, `operators.listen: give operators.keyHashes`},
		{"unreachable peer", `127.0.0.1:8082`, `0.0.0.0:8082`, `peers.advertise: give an address that others can dial`},
		{"address twice", `127.0.0.1:8081`, `127.0.0.1:8080`, `operators.listen: 127.0.0.1:8080 is already used by callers.listen`},
		{"syntax", `"daemon": "d1"`, `"daemon" "d1"`, `line 4, column 11: correct the JSON here`},
		{"two places for a secret", `{"env": "PEER_KEY"}`, `{"env": "PEER_KEY", "file": "k"}`, `peers.key: give "file" or "env", not both`},
		{"secret in the settings", `{"env": "PEER_KEY"}`, `"s3cret"`, `peers.key: give an object in braces`},
		{"null", `"d1"`, `null`, `line 4, column 12: daemon: give a string in double quotes instead of null`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, minimal, c.old)
			_, err := Parse([]byte(strings.Replace(minimal, c.old, c.new, 1)))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestSecretIsReadAndNotLogged(t *testing.T) {
	t.Setenv("PEER_KEY", " s3cret\n")
	s, err := Parse([]byte(minimal))
	require.NoError(t, err)
	key, err := s.Peers.Key.Read()
	require.NoError(t, err)
	require.Equal(t, "s3cret", string(key))

	var log strings.Builder
	slog.New(slog.NewJSONHandler(&log, nil)).Info("settings", "settings", s, "key", s.Peers.Key)
	require.NotContains(t, log.String(), "s3cret")

	_, err = Secret{Env: "NO_SUCH_VARIABLE"}.Read()
	require.ErrorContains(t, err, "put one there")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(`{"daemon": null, "peers": {"seeds": [1]}}`))
	f.Add([]byte(strings.Repeat("[", 10_000)))
	f.Add([]byte(`{"callers": {"listen": "\ud800"}} /* `))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil {
			require.NoError(t, s.Check())
		}
	})
}
