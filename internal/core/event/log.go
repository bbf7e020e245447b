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
	// async is nil for a log that writes synchronously.
	async  *log.AsyncWriter
	limits *rateLimits
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
	// queuedLines is the length of the writer's queue; lines that do not fit are dropped.
	queuedLines = 4096
	// burstSeconds sizes the burst of one event: it may write this many seconds' worth of lines at once.
	burstSeconds = 3
)

// NewBounded returns a log that never blocks. Lines beyond perSecond of one event are dropped, counted and reported;
// lines that do not fit into the writer's queue are dropped without a count.
func NewBounded(w io.Writer, daemonID string, perSecond int) *Log {
	l := New(w, "info", "json", daemonID)
	l.async = &log.AsyncWriter{ChannelSize: queuedLines, DiscardOnFull: true, Writer: l.logger.Writer}
	l.logger.Writer = l.async
	l.limits = &rateLimits{perSecond: perSecond, byNumber: map[int]*rateLimit{}}
	return l
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(io.Discard, "error", "json", "") }

// Emit writes an event with key-value pairs.
func (l *Log) Emit(e Event, pairs ...any) {
	if l.limits != nil && e.Level >= l.logger.Level {
		allowed, dropped := l.limits.allow(e.Number)
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

// Close flushes the queue of a bounded log.
func (l *Log) Close() error {
	if l.async == nil {
		return nil
	}
	return l.async.Close()
}

// rateLimits bounds the lines per second of each event, by its number.
type rateLimits struct {
	perSecond int

	mu       sync.Mutex
	byNumber map[int]*rateLimit
}

type rateLimit struct {
	limiter *rate.Limiter
	dropped int
}

// allow reports whether a line of an event may be written and, if so, how many were dropped since the last one.
func (r *rateLimits) allow(number int) (allowed bool, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.byNumber[number]
	if limit == nil {
		limit = &rateLimit{limiter: rate.NewLimiter(rate.Limit(r.perSecond), burstSeconds*r.perSecond)}
		r.byNumber[number] = limit
	}
	if !limit.limiter.AllowN(time.Now(), 1) {
		limit.dropped++
		return false, 0
	}
	dropped, limit.dropped = limit.dropped, 0
	return true, dropped
}
