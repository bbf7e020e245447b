package entry

import (
	"context"

	"github.com/pollencourse/pollencourse/internal/config/routing"
)

// started is the configuration in force once the servers and the roll-outs are known as well.
type started struct {
	tables *routing.Holder
	loaded <-chan struct{}
}

// Current returns the table in force, or nil while anything is missing that a request needs.
func (s *started) Current() *routing.Table {
	select {
	case <-s.loaded:
		return s.tables.Current()
	default:
		return nil
	}
}

// Await returns the first table, or nil if ctx ends before everything is there.
func (s *started) Await(ctx context.Context) *routing.Table {
	select {
	case <-s.loaded:
		return s.tables.Await(ctx)
	case <-ctx.Done():
		return nil
	}
}

// whenReady calls fn once everything is there.
func (s *started) whenReady(fn func()) {
	go func() {
		if s.Await(context.Background()) != nil {
			fn()
		}
	}()
}
