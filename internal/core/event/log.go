package event

import (
	"io"

	"github.com/phuslu/log"
)

// Log writes numbered events.
type Log struct {
	logger *log.Logger
}

// New returns a log that writes to w; format is "json" or "text".
func New(w io.Writer, level, format, daemonID string) *Log {
	l := &log.Logger{
		Level:   log.ParseLevel(level),
		Writer:  &log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("daemon", daemonID).Value(),
	}
	if format == "text" {
		l.Writer = &log.ConsoleWriter{Writer: w}
	}
	return &Log{logger: l}
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(io.Discard, "error", "json", "") }

// Emit writes one event with key-value pairs.
func (l *Log) Emit(e Event, pairs ...any) {
	entry := l.logger.WithLevel(e.Level)
	if entry == nil {
		return
	}
	entry.Int("event", e.Number).Str("name", e.Name).KeysAndValues(pairs...).Msg(e.Text)
}
