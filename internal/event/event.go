//go:generate go run ../tools/eventsdoc

// Package event holds the catalogue of numbered log events. Every log line of the daemon carries
// one of these numbers. docs/events.md lists them for operators; it is generated from the
// catalogue, and a test checks that it is up to date.
package event

import (
	"fmt"
	"log/slog"
)

// ID is an event's number. It prints as RS followed by four digits.
type ID int

// String returns the number as it appears in logs and docs.
func (id ID) String() string { return fmt.Sprintf("RS%04d", int(id)) }

// Definition is the catalogue entry of one event.
type Definition struct {
	ID      ID
	Level   slog.Level
	Message string
	// Action is what an operator should do; empty means nothing.
	Action string
}

// Field is one named value of a log line. The value is stored as text, so that tests can compare
// effects byte for byte.
type Field struct {
	Key   string
	Value string
}

// F returns a field with the value formatted as text.
func F(key string, value any) Field {
	return Field{Key: key, Value: fmt.Sprint(value)}
}

// Lookup returns the definition of an event, and false if the catalogue has none.
func Lookup(id ID) (Definition, bool) {
	d, ok := byID[id]
	return d, ok
}

// All returns all definitions. The slice must not be changed.
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
