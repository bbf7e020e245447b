package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/poison"
)

// checkQuarantine returns an error if the request holds a prompt part under which servers ended. It is called before each
// attempt, since the part may have been quarantined since the last one.
func (h *handler) checkQuarantine() error {
	block, ok := h.router.quarantine.Admit(h.req.ID, h.suspectKeys)
	if ok {
		return nil
	}
	outcome := fault.NotRun
	if h.mayHaveRun {
		outcome = fault.Unknown
	}
	return fault.New(fault.Quarantined, "change this part of the request, or ask the operator to release it",
		"%d backend servers ended under requests with the %s", block.Ends, describeKey(block.Part)).
		WithRetryAfter(block.Remaining).WithOutcome(outcome)
}

func describeKey(key string) string {
	if poison.IsContent(key) {
		return "same " + key
	}
	return "prompt part " + key
}

// fail records a failure of the attempt and releases its reservation.
func (a *attempt) fail(ctx context.Context, f *Failure) {
	a.broken = f.Sent && f.Reason == Truncated
	a.noteUnreached(f)
	a.finish(outcomeOfFailure(ctx, f))
}

// maxHastyBreaks is how many connections may break soon after the answer had begun before further attempts wait until it is
// known whether the servers have ended. One end may be chance; of the second on, the request may be the cause.
const maxHastyBreaks = 1

// noteEarlyBreak records that the connection of the attempt broke; settled is closed once it is known whether the server has
// ended.
func (a *attempt) noteEarlyBreak(settled <-chan struct{}) {
	if !a.answerBegan.IsZero() && time.Since(a.answerBegan) < poison.Probation {
		a.handler.earlyBreaks++
		a.handler.breakSettled = settled
	}
}

// awaitBreaks waits until the quarantine can judge the breaks of earlier attempts, if there were too many.
func (h *handler) awaitBreaks(ctx context.Context) {
	if h.earlyBreaks <= maxHastyBreaks {
		return
	}
	select {
	case <-h.breakSettled:
	case <-ctx.Done():
	}
}

// recordProgress records that the server survived the answer once it has gone on for poison.Probation.
func (a *attempt) recordProgress() {
	if !a.shownSound && time.Since(a.answerBegan) >= poison.Probation {
		a.shownSound = true
		a.handler.router.quarantine.Sound(a.evidence())
	}
}

// recordWhole records that the response is whole, or looks so since its connection has ended.
func (a *attempt) recordWhole() {
	switch {
	case a.shownSound:
	case a.framed:
		a.handler.router.quarantine.Sound(a.evidence())
	default:
		a.handler.router.quarantine.Closed(a.evidence())
	}
}

// evidence describes the attempt to the quarantine.
func (a *attempt) evidence() poison.Attempt {
	return poison.Attempt{
		Request: a.handler.req.ID, Server: a.server.ID, Incarnation: a.server.Born, Address: a.server.Address,
		SentAt: a.startedAt, AnswerBegan: a.answerBegan, Parts: a.handler.suspectKeys,
	}
}

// answerAge returns how long ago the response began; -1 ms if it has not.
func (a *attempt) answerAge() time.Duration {
	if a.answerBegan.IsZero() {
		return -time.Millisecond
	}
	return time.Since(a.answerBegan)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

func (h *handler) loggedParts() []string {
	return h.suspectKeys[:min(len(h.suspectKeys), maxLoggedParts)]
}

// attemptSet holds the attempts in flight.
type attemptSet struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
}

func (s *attemptSet) add(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[a] = struct{}{}
}

func (s *attemptSet) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a)
}

// CancelAttempts ends the attempts in flight whose requests hold a shared prompt part, so that no server begins to answer
// them.
func (r *Router) CancelAttempts(part string) {
	r.attempts.mu.Lock()
	defer r.attempts.mu.Unlock()
	for a := range r.attempts.attempts {
		if slices.Contains(a.handler.suspectKeys, part) {
			a.withdrawn.Store(true)
			a.cancel()
		}
	}
}
