// Package objectjson decodes the JSON of an object strictly: unknown and repeated
// fields and broken rules are refused with line, column and remedy.
package objectjson

import (
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/strictjson"
)

// Decode decodes and checks a value of a kind.
func Decode(kind object.Kind, data []byte) (object.Value, error) {
	document, err := strictjson.Parse(data)
	if err != nil {
		return nil, err
	}
	return DecodeDocument(kind, document)
}

// DecodeDocument decodes and checks a parsed value of a kind.
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
