package intent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/external/store"
)

const (
	settleInterval = 500 * time.Millisecond
	settleTimeout  = 2 * time.Second
	// maxRecordedBody bounds the answer kept for callers that ask again.
	maxRecordedBody = 256 << 10
)

// Release gives the intent up; it holds only if the request was never sent.
func (in *Intent) Release(ctx context.Context) {
	in.service.setPhase(in, released)
	in.service.settle(ctx, in)
}

// Done records the answer, so that a retry gets it; call it before the answer leaves.
//
// If the store does not take it now, it is kept and written later.
func (in *Intent) Complete(ctx context.Context, a Response) {
	s := in.service
	s.mu.Lock()
	in.record.State = Done
	in.record.Status, in.record.ContentType = a.Status, a.ContentType
	if len(a.Body) <= maxRecordedBody {
		in.record.Body = a.Body
	}
	in.phase = answered
	s.mu.Unlock()
	if !s.settle(ctx, in) {
		s.log.Emit(event.OutcomeNotWritten, "account", in.record.Account, "requestID", in.record.RequestID)
	}
}

// Lost notes that the request was sent and no answer came; it stays pending for ever.
func (in *Intent) MarkUnknown() {
	s := in.service
	s.log.Emit(event.IntentUnknown, "account", in.record.Account, "requestID", in.record.RequestID, "daemon", in.record.Daemon)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, in.record.Nonce)
}

// settle writes the intent's end to the store and reports whether that is done.
func (s *Service) settle(ctx context.Context, in *Intent) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	in.settling.Lock()
	defer in.settling.Unlock()
	s.mu.Lock()
	p, record := in.phase, in.record
	s.mu.Unlock()
	version, ok := s.settledVersion(ctx, in)
	if !ok {
		return false
	}
	if version > 0 && !s.writeEnd(ctx, in, p, record, version) {
		return false
	}
	if p == released {
		s.log.Emit(event.IntentReleased, "account", record.Account, "requestID", record.RequestID)
	}
	s.mu.Lock()
	delete(s.active, in.record.Nonce)
	s.mu.Unlock()
	return true
}

// settledVersion returns the version under which the intent stands, or 0 if it is not there any more.
func (s *Service) settledVersion(ctx context.Context, in *Intent) (int64, bool) {
	if in.version > 0 {
		return in.version, true
	}
	r, version, err := s.read(ctx, in.key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return 0, true
	case err != nil:
		return 0, false
	case r.Nonce != in.record.Nonce:
		return 0, true
	default:
		return version, true
	}
}

func (s *Service) writeEnd(ctx context.Context, in *Intent, p phase, record Record, version int64) bool {
	var err error
	if p == released {
		err = s.objects.Delete(ctx, in.key, version)
	} else {
		var body []byte
		if body, err = json.Marshal(record); err == nil {
			_, err = s.objects.Update(ctx, in.key, body, version)
		}
	}
	switch {
	case err == nil, errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return true
	default:
		// The version is read anew, since the lost write may have taken effect.
		in.version = 0
		return false
	}
}

// Run settles what the store did not take at first, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.settleAll(context.Background())
			return nil
		case <-ticker.C:
		}
		s.settleAll(ctx)
	}
}

func (s *Service) settleAll(ctx context.Context) {
	for _, in := range s.unsettled() {
		if !s.settle(ctx, in) {
			return
		}
	}
}

func (s *Service) unsettled() []*Intent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Intent
	for _, in := range s.active {
		if in.phase != running {
			out = append(out, in)
		}
	}
	return out
}
