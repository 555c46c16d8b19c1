// Package logging creates the daemon's log/slog logger from its settings and logs the numbered
// events of package event. NonBlockingWriter keeps a slow reader of the log from blocking the
// daemon.
package logging

import (
	"context"
	"io"
	"log/slog"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// KeyEvent is the key of the attribute that holds an event's number.
const KeyEvent = "event"

// New returns a logger that writes to w with the level and format of the settings: JSON unless
// the format is "text".
func New(w io.Writer, l config.Log) (*slog.Logger, error) {
	level, err := l.SlogLevel()
	if err != nil {
		return nil, err
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(w, options)), nil
	}
	return slog.New(slog.NewJSONHandler(w, options)), nil
}

// Event logs a numbered event with its level and message from the catalogue of package event.
func Event(logger *slog.Logger, id event.ID, fields ...event.Field) {
	definition, _ := event.Lookup(id)
	if !logger.Enabled(context.Background(), definition.Level) {
		return
	}
	attributes := make([]slog.Attr, 0, len(fields)+1)
	attributes = append(attributes, slog.String(KeyEvent, id.String()))
	for _, f := range fields {
		attributes = append(attributes, slog.String(f.Key, f.Value))
	}
	logger.LogAttrs(context.Background(), definition.Level, definition.Message, attributes...)
}
