package config

import (
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time.Duration that a settings file gives as a string with its unit, such as
// "250ms", "30s" or "24h".
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns the shortest text that parses as the same duration, such as "2m" instead
// of "2m0s".
func (d Duration) String() string {
	text := time.Duration(d).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a duration with its unit. It refuses a bare "0", which
// time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	if string(text) == "0" {
		return errors.New(d.JSONHint())
	}
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, d.JSONHint())
	}
	*d = Duration(parsed)
	return nil
}

// JSONHint describes how a duration is written, for error messages.
func (*Duration) JSONHint() string {
	return `a duration as a string with its unit, such as "250ms", "30s" or "24h"`
}

// Secret names the place of a secret: a file or an environment variable. The settings never
// contain the secret itself, and it is never logged.
type Secret struct {
	// File is the path of a file that holds the secret. White space around it is
	// ignored. Exclusive with env.
	File string `json:"file,omitempty"`
	// Env is the name of an environment variable that holds the secret. Exclusive
	// with file.
	Env string `json:"env,omitempty"`
}

// IsZero reports whether no place is named.
func (s Secret) IsZero() bool { return s == Secret{} }

// Read returns the secret, without white space around it. It is an error if no place or two
// are named, or if the secret is empty.
func (s Secret) Read() ([]byte, error) {
	text := ""
	switch {
	case s.File != "" && s.Env != "":
		return nil, errors.New(`give "file" or "env" for a secret, not both`)
	case s.File != "":
		data, err := os.ReadFile(s.File)
		if err != nil {
			return nil, errors.Wrap(err, "read secret: create the file or name another")
		}
		text = string(data)
	case s.Env != "":
		text = os.Getenv(s.Env)
	default:
		return nil, errors.New(`name the place of the secret: {"file": "..."} or {"env": "..."}`)
	}
	text = strings.TrimSpace(text)
	if text == "" {
		return nil, errors.Errorf("secret in %s is empty: put one there", s)
	}
	return []byte(text), nil
}

// String names the place, not the secret.
func (s Secret) String() string {
	if s.File != "" {
		return "file " + s.File
	}
	return "environment variable " + s.Env
}

// LogValue names the place, not the secret.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }
