//go:generate go run ../tools/eventsdoc

// Package event holds the catalogue of numbered log events. Every log line of the
// daemon carries one of these numbers; docs/events.md lists them for operators and
// a test compares the two.
package event

import (
	"fmt"
	"log/slog"
)

// ID is an event's number. It prints as RS followed by four digits.
type ID int

// String returns the number as it stands in logs and docs.
func (id ID) String() string { return fmt.Sprintf("RS%04d", int(id)) }

// Definition is what the catalogue says of one event.
type Definition struct {
	ID      ID
	Level   slog.Level
	Message string
	// Action is what an operator should do; empty means nothing.
	Action string
}

// Field is one named value of a log line. Values are rendered as text so that
// effects compare byte for byte.
type Field struct {
	Key   string
	Value string
}

// F makes a field.
func F(key string, value any) Field {
	return Field{Key: key, Value: fmt.Sprint(value)}
}

// Lookup returns the definition of an event.
func Lookup(id ID) (Definition, bool) {
	d, ok := byID[id]
	return d, ok
}

// All returns the catalogue in order of numbers.
func All() []Definition { return catalogue }

var byID = index(catalogue)

func index(defs []Definition) map[ID]Definition {
	m := make(map[ID]Definition, len(defs))
	for _, d := range defs {
		if _, taken := m[d.ID]; taken {
			panic("event: number used twice: " + d.ID.String())
		}
		m[d.ID] = d
	}
	return m
}
