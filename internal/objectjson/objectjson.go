// Package objectjson decodes the JSON of an object's value strictly. Errors for unknown fields,
// repeated fields and violated rules state the line, the column and the remedy.
package objectjson

import (
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/strictjson"
)

// Decode decodes a value of the given kind and checks its rules.
func Decode(kind object.Kind, data []byte) (object.Value, error) {
	document, err := strictjson.Parse(data)
	if err != nil {
		return nil, err
	}
	return DecodeDocument(kind, document)
}

// DecodeDocument decodes a parsed value of the given kind and checks its rules.
func DecodeDocument(kind object.Kind, document *strictjson.Document) (object.Value, error) {
	value, err := object.New(kind)
	if err != nil {
		return nil, document.ErrorAt("kind", err.Error())
	}
	if err := document.Decode(value); err != nil {
		return nil, err
	}
	err = value.Check()
	if broken, ok := errors.Into[*object.RuleError](err); ok {
		return nil, document.ErrorAt(broken.Field, broken.Remedy)
	}
	return value, err
}
