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
	// maxRecordedBodyBytes bounds the recorded body; a longer one is left out of the recorded response.
	maxRecordedBodyBytes = 256 << 10
)

// Release gives up an intent whose request was never sent.
func (in *Intent) Release(ctx context.Context) {
	in.service.setPhase(in, released)
	in.service.settle(ctx, in)
}

// Complete records the response, so that the same request sent again gets it. It must be
// called before the response is sent to the caller.
//
// If the write fails, Run writes the outcome later.
func (in *Intent) Complete(ctx context.Context, resp Response) {
	s := in.service
	s.mu.Lock()
	in.record.State = Done
	in.record.Status, in.record.ContentType = resp.Status, resp.ContentType
	if len(resp.Body) <= maxRecordedBodyBytes {
		in.record.Body = resp.Body
	}
	in.phase = completed
	s.mu.Unlock()
	if !s.settle(ctx, in) {
		s.log.Emit(event.OutcomeNotWritten, "account", in.record.Account, "requestID", in.record.RequestID)
	}
}

// MarkUnknown records that the request was sent without a complete response; the intent stays pending for good.
func (in *Intent) MarkUnknown() {
	s := in.service
	s.log.Emit(event.IntentUnknown, "account", in.record.Account, "requestID", in.record.RequestID, "daemon", in.record.Daemon)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, in.record.Nonce)
}

// settle writes the intent's outcome to the store and reports success.
func (s *Service) settle(ctx context.Context, in *Intent) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	in.settleMu.Lock()
	defer in.settleMu.Unlock()
	s.mu.Lock()
	p, record := in.phase, in.record
	s.mu.Unlock()
	version, ok := s.currentVersion(ctx, in)
	if !ok {
		return false
	}
	if version > 0 && !s.writeOutcome(ctx, in, p, record, version) {
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

// currentVersion returns the version of the stored intent, or 0 if the store has none or another one under its key.
func (s *Service) currentVersion(ctx context.Context, in *Intent) (int64, bool) {
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

func (s *Service) writeOutcome(ctx context.Context, in *Intent, p phase, record Record, version int64) bool {
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
		// The next call reads the version again, since the failed write may have taken effect.
		in.version = 0
		return false
	}
}

// Run settles the intents whose first write failed, until ctx is done.
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
