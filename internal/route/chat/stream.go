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

// chunkSink passes chunks on to the caller and counts them.
type chunkSink struct {
	w       Answer
	run     *run
	version string
	// usage is true if the caller asked for the usage chunk.
	usage  bool
	begun  bool
	passed int
	// sample keeps the text of an answer that will be rated.
	sample *strings.Builder
}

var (
	noChoices = []byte(`"choices":[]`)
	eventEnd  = []byte("\n\n")
	endOfAll  = []byte("data: [DONE]\n\n")
)

// Event writes one chunk.
func (s *chunkSink) Event(line []byte) error {
	if !s.begun {
		s.begun = true
		s.w.Head(s.version, s.run.attempts, "text/event-stream")
	}
	s.passed++
	if !s.usage && bytes.Contains(line, noChoices) {
		return nil
	}
	if s.sample != nil {
		s.keep(line)
	}
	if _, err := s.w.Write(line); err != nil {
		return err
	}
	_, err := s.w.Write(eventEnd)
	return err
}

// keep adds the chunk's text to the sample.
func (s *chunkSink) keep(line []byte) {
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

// Flush sends what was written.
func (s *chunkSink) Flush() error { return s.w.Flush() }

// stream answers a streaming request with the plan's first version.
func (u *run) stream(ctx context.Context, w Answer) error {
	version := u.choice.plan.First
	sink := &chunkSink{w: w, run: u, version: version, usage: u.req.Chat.IncludeUsage}
	if u.rates(version) {
		sink.sample = &strings.Builder{}
	}
	err := u.streamVersion(ctx, sink)
	if err != nil && !sink.begun && u.choice.rolled != "" && ctx.Err() == nil {
		sink.version = u.choice.rolled
		err = u.streamVersion(ctx, sink)
	}
	if err != nil {
		return u.endEarly(ctx, sink, err)
	}
	u.learnStream(sink)
	u.router.charges.Add(u.charge(sink.version, "whole"))
	if _, err := w.Write(endOfAll); err != nil {
		return err
	}
	return w.Flush()
}

// rates decides before the stream begins whether its answer is rated.
func (u *run) rates(version string) bool {
	return u.router.random() < u.req.Class.RateShare || u.version(version).State == template.RollingIn
}

// endEarly bills what a caller that went away has received, and passes other errors on.
func (u *run) endEarly(ctx context.Context, sink *chunkSink, err error) error {
	if sink.begun && ctx.Err() != nil && time.Now().Before(u.req.Deadline) {
		v := u.version(sink.version)
		u.usage = engine.Usage{Completion: int64(sink.passed)}
		u.cost = float64(sink.passed) * v.CompletionCost
		u.router.charges.Add(u.charge(sink.version, "cancelled"))
	}
	return err
}

// streamVersion sends attempts for one version; a stream cut midway is resumed where the engine can.
func (u *run) streamVersion(ctx context.Context, sink *chunkSink) error {
	body, err := u.req.Chat.body(sink.version, u.req.Priority, false)
	if err != nil {
		return fault.New(fault.BadRequest, badChat, "request can't be encoded").WithCause(err)
	}
	call := engine.Call{RequestID: u.req.RequestID, Body: body, AttemptID: newAttemptID()}
	for tries := 1; ; tries++ {
		t, err := u.place(ctx, sink.version)
		if err != nil {
			return err
		}
		f := u.streamOnce(ctx, t, call, sink)
		for f != nil && sink.begun && u.resumable(ctx, f, tries) {
			tries++
			f = u.resume(ctx, t, call, sink)
		}
		if f == nil {
			return nil
		}
		if sink.begun || !u.again(ctx, f, tries) {
			return u.failure(f)
		}
		call.AttemptID = newAttemptID()
		u.reconsider(sink.version)
	}
}

func (u *run) streamOnce(ctx context.Context, t balance.Target, call engine.Call, sink *chunkSink) *engine.Failure {
	began := time.Now()
	call.Address = t.Address
	call.OnLoad = func(rep balance.LoadReport) { u.router.pool.Report(t, rep) }
	out, f := u.router.engines.Stream(ctx, call, sink)
	u.release(t, sink.version, f, out.Load, began)
	if f == nil {
		u.note(engine.Answering)
		u.spent(sink.version, out.Usage)
	}
	return f
}

// resumable reports whether a stream that was cut or paused may go on from where it stopped.
func (u *run) resumable(ctx context.Context, f *engine.Failure, tries int) bool {
	broken := f.Reason == engine.Incomplete || f.Reason == engine.Stalled
	return broken && ctx.Err() == nil && tries < maxAttempts && u.router.budget.Spend()
}

// resume asks the same engine for the rest of the same stream.
func (u *run) resume(ctx context.Context, t balance.Target, call engine.Call, sink *chunkSink) *engine.Failure {
	u.router.log.Emit(event.AnswerIncomplete, "server", t.ID, "requestID", u.req.RequestID, "chunks", sink.passed)
	u.router.counts.retries.Add(1)
	call.Address = t.Address
	call.ResumeAfter = sink.passed
	out, f := u.router.engines.Stream(ctx, call, sink)
	if f == nil {
		u.note(engine.Answering)
		u.spent(sink.version, out.Usage)
	}
	return f
}

func (u *run) learnStream(sink *chunkSink) {
	v := u.version(sink.version)
	if sink.sample == nil {
		u.router.evidence.Start(keyOf(u.req.Policy, v), false)
		return
	}
	r := u.router
	k := r.learned(u.req, sink.version)
	r.submit(u.req, v, keyOf(u.req.Policy, v), sink.sample.String(), func(good bool) {
		r.learner.with(k, v.PriorQuality, func(e *cascade.Evidence) { e.RateWithoutConfidence(good) })
	})
}
