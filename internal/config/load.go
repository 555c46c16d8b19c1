package config

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/strictjson"
)

// maxFileBytes is the size limit of a settings file. A larger one is refused.
const maxFileBytes = 1 << 20

// FieldError says which field breaks a rule and how to correct it.
type FieldError struct {
	Field  string // dotted path, such as "targets.probeTimeout"
	Remedy string // what to write instead
}

// Error returns the field and the remedy.
func (e *FieldError) Error() string { return e.Field + ": " + e.Remedy }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings: name a file that this user can read")
	}
	s, err := Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return s, nil
}

// Parse parses and checks settings. Fields that are not given have their defaults.
func Parse(data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, errors.Errorf("settings are larger than %d bytes: shorten them", maxFileBytes)
	}
	document, err := strictjson.Parse(data)
	if err != nil {
		return nil, err
	}
	s := Default()
	if err := document.Decode(s); err != nil {
		return nil, err
	}
	err = s.Check()
	var broken *FieldError
	if errors.As(err, &broken) {
		return nil, document.ErrorAt(broken.Field, broken.Remedy)
	}
	return s, err
}
