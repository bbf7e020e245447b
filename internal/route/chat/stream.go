package chat

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/decide/cascade"
)

// chunkSink forwards chunks to the caller and counts them.
type chunkSink struct {
	w       ResponseWriter
	handler *handler
	version string
	// includeUsage is true if the caller requested the usage chunk.
	includeUsage bool
	headersSent  bool
	chunks       int
	// sample collects the text of an answer that will be rated; nil otherwise.
	sample *strings.Builder
}

var (
	noChoices  = []byte(`"choices":[]`)
	eventEnd   = []byte("\n\n")
	streamDone = []byte("data: [DONE]\n\n")
)

// Event writes one chunk, after the headers if it is the first.
func (s *chunkSink) Event(line []byte) error {
	if !s.headersSent {
		s.headersSent = true
		s.w.Begin(s.version, s.handler.attempts, "text/event-stream")
	}
	s.chunks++
	if !s.includeUsage && bytes.Contains(line, noChoices) {
		return nil
	}
	if s.sample != nil {
		s.addSample(line)
	}
	if _, err := s.w.Write(line); err != nil {
		return err
	}
	_, err := s.w.Write(eventEnd)
	return err
}

// addSample adds the chunk's text to the sample.
func (s *chunkSink) addSample(line []byte) {
	var in struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	_, data, _ := bytes.Cut(line, []byte(":"))
	if json.Unmarshal(data, &in) == nil && len(in.Choices) > 0 && s.sample.Len() < maxRatedBytes {
		s.sample.WriteString(in.Choices[0].Delta.Content)
	}
}

// Flush sends the chunks written so far.
func (s *chunkSink) Flush() error { return s.w.Flush() }

// stream handles a streaming request with the plan's first version.
func (h *handler) stream(ctx context.Context, w ResponseWriter) error {
	version := h.choice.plan.First
	sink := &chunkSink{w: w, handler: h, version: version, includeUsage: h.req.Chat.IncludeUsage}
	if h.willBeRated(version) {
		sink.sample = &strings.Builder{}
	}
	err := h.streamVersion(ctx, sink)
	if err != nil && !sink.headersSent && h.choice.replaced != "" && ctx.Err() == nil {
		sink.version = h.choice.replaced
		err = h.streamVersion(ctx, sink)
	}
	if err != nil {
		return h.chargeIfCancelled(ctx, sink, err)
	}
	h.recordStream(sink)
	h.router.charges.Add(h.charge(sink.version, "whole"))
	if _, err := w.Write(streamDone); err != nil {
		return err
	}
	return w.Flush()
}

// willBeRated decides before the stream begins whether its answer is rated.
func (h *handler) willBeRated(version string) bool {
	return h.router.random() < h.req.Class.RateShare || h.version(version).State == template.RollingIn
}

// chargeIfCancelled charges a caller that disconnected for the chunks it received, and returns err.
func (h *handler) chargeIfCancelled(ctx context.Context, sink *chunkSink, err error) error {
	if sink.headersSent && ctx.Err() != nil && time.Now().Before(h.req.Deadline) {
		v := h.version(sink.version)
		h.usage = engine.Usage{Completion: int64(sink.chunks)}
		h.cost = float64(sink.chunks) * v.CompletionCost
		h.router.charges.Add(h.charge(sink.version, "cancelled"))
	}
	return err
}

// streamVersion sends attempts to servers of one version; a truncated stream is resumed at the same server if possible.
func (h *handler) streamVersion(ctx context.Context, sink *chunkSink) error {
	body, err := h.req.Chat.engineBody(sink.version, h.req.Priority, false)
	if err != nil {
		return fault.New(fault.BadRequest, chatRemedy, "the request can't be encoded").WithCause(err)
	}
	call := engine.Call{RequestID: h.req.RequestID, Body: body, AttemptID: newAttemptID()}
	for attempts := 1; ; attempts++ {
		t, err := h.acquire(ctx, sink.version)
		if err != nil {
			return err
		}
		f := h.streamAttempt(ctx, t, call, sink)
		for f != nil && sink.headersSent && h.mayResume(ctx, f, attempts) {
			attempts++
			f = h.resume(ctx, t, call, sink)
		}
		if f == nil {
			return nil
		}
		if sink.headersSent || !h.mayRetry(ctx, f, attempts) {
			return h.requestError(f)
		}
		call.AttemptID = newAttemptID()
		h.resetAvoidIfExhausted(sink.version)
	}
}

func (h *handler) streamAttempt(ctx context.Context, t balance.Target, call engine.Call, sink *chunkSink) *engine.Failure {
	began := time.Now()
	call.Address = t.Address
	call.OnLoad = func(rep balance.LoadReport) { h.router.pool.RecordLoad(t, rep) }
	out, f := h.router.engines.Stream(ctx, call, sink)
	h.release(t, sink.version, f, out.Load, began)
	if f == nil {
		h.noteProgress(engine.ResponseStarted)
		h.addUsage(sink.version, out.Usage)
	}
	return f
}

// mayResume reports whether a truncated or stalled stream may be resumed, and if so takes a retry out of the budget.
func (h *handler) mayResume(ctx context.Context, f *engine.Failure, attempts int) bool {
	broken := f.Reason == engine.Incomplete || f.Reason == engine.Stalled
	return broken && ctx.Err() == nil && attempts < maxAttemptsPerVersion && h.router.budget.Spend()
}

// resume requests the rest of a stream from the same engine.
func (h *handler) resume(ctx context.Context, t balance.Target, call engine.Call, sink *chunkSink) *engine.Failure {
	h.router.log.Emit(event.AnswerIncomplete, "server", t.ID, "requestID", h.req.RequestID, "chunks", sink.chunks)
	h.router.counts.retries.Add(1)
	call.Address = t.Address
	call.ResumeAfter = sink.chunks
	out, f := h.router.engines.Stream(ctx, call, sink)
	if f == nil {
		h.noteProgress(engine.ResponseStarted)
		h.addUsage(sink.version, out.Usage)
	}
	return f
}

func (h *handler) recordStream(sink *chunkSink) {
	v := h.version(sink.version)
	if sink.sample == nil {
		h.router.evidence.Start(keyOf(h.req.Policy, v), false)
		return
	}
	r := h.router
	k := r.statsKeyOf(h.req, sink.version)
	r.submitForRating(h.req, v, keyOf(h.req.Policy, v), sink.sample.String(), func(good bool) {
		r.learner.withEvidence(k, v.PriorQuality, func(e *cascade.Evidence) { e.RateWithoutConfidence(good) })
	})
}
