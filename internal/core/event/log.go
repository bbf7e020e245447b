package event

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

// Log writes numbered events.
type Log struct {
	logger *log.Logger
	// async is nil for a log that writes in the caller's goroutine.
	async  *log.AsyncWriter
	bounds *bounds
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

const (
	// queuedLines is the number of lines that wait for the writer before others are left out.
	queuedLines = 4096
	// burstSeconds is how many seconds' worth of lines one kind of event may write at once.
	burstSeconds = 3
)

// NewBounded returns a log that never blocks: lines beyond perSecond of one kind, or that the writer can't keep up
// with, are left out and counted.
func NewBounded(w io.Writer, daemonID string, perSecond int) *Log {
	l := New(w, "info", "json", daemonID)
	l.async = &log.AsyncWriter{ChannelSize: queuedLines, DiscardOnFull: true, Writer: l.logger.Writer}
	l.logger.Writer = l.async
	l.bounds = &bounds{perSecond: perSecond, kinds: map[int]*kind{}}
	return l
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(io.Discard, "error", "json", "") }

// Emit writes one event with key-value pairs.
func (l *Log) Emit(e Event, pairs ...any) {
	if l.bounds != nil && e.Level >= l.logger.Level {
		allowed, dropped := l.bounds.take(e.Number)
		if !allowed {
			return
		}
		if dropped > 0 {
			l.write(LinesDropped, "of", e.Name, "lines", dropped)
		}
	}
	l.write(e, pairs...)
}

func (l *Log) write(e Event, pairs ...any) {
	entry := l.logger.WithLevel(e.Level)
	if entry == nil {
		return
	}
	entry.Int("event", e.Number).Str("name", e.Name).KeysAndValues(pairs...).Msg(e.Text)
}

// Close writes what is queued.
func (l *Log) Close() error {
	if l.async == nil {
		return nil
	}
	return l.async.Close()
}

// bounds limits the lines of each kind of event.
type bounds struct {
	perSecond int

	mu    sync.Mutex
	kinds map[int]*kind
}

type kind struct {
	limit   *rate.Limiter
	dropped int
}

// take reports whether a line may be written and, if so, how many of its kind were left out before it.
func (b *bounds) take(number int) (allowed bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.kinds[number]
	if k == nil {
		k = &kind{limit: rate.NewLimiter(rate.Limit(b.perSecond), burstSeconds*b.perSecond)}
		b.kinds[number] = k
	}
	if !k.limit.AllowN(time.Now(), 1) {
		k.dropped++
		return false, 0
	}
	dropped, k.dropped = k.dropped, 0
	return true, dropped
}
