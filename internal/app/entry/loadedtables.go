package entry

import (
	"context"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/routing"
)

// loadedTables provides the routing table in force, but not before the servers and the roll-outs are loaded.
type loadedTables struct {
	tables *routing.Holder
	loaded <-chan struct{}
}

// Current returns the table in force, or nil while the table, the servers or the roll-outs are missing.
func (s *loadedTables) Current() *routing.Table {
	select {
	case <-s.loaded:
		return s.tables.Current()
	default:
		return nil
	}
}

// Await returns the first table, or nil if ctx ends before everything is loaded.
func (s *loadedTables) Await(ctx context.Context) *routing.Table {
	select {
	case <-s.loaded:
		return s.tables.Await(ctx)
	case <-ctx.Done():
		return nil
	}
}

// allClosed returns a channel that is closed once all the given ones are.
func allClosed(channels ...<-chan struct{}) <-chan struct{} {
	out := make(chan struct{})
	go func() {
		defer close(out)
		for _, c := range channels {
			<-c
		}
	}()
	return out
}

// closedWithin returns a channel that is closed once the given one is, or after a time.
func closedWithin(c <-chan struct{}, timeout time.Duration) <-chan struct{} {
	out := make(chan struct{})
	go func() {
		defer close(out)
		select {
		case <-c:
		case <-time.After(timeout):
		}
	}()
	return out
}

// whenReady calls fn once everything is loaded.
func (s *loadedTables) whenReady(fn func()) {
	go func() {
		if s.Await(context.Background()) != nil {
			fn()
		}
	}()
}
