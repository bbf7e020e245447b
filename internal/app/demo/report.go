package demo

import (
	"fmt"
	"io"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/fleet/charge"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

// Report has the results of a run of the demo.
type Report struct {
	Requests              int     `json:"requests"`
	CompleteResponses     int     `json:"wholeAnswers"`
	RefusedNotRun         int     `json:"refusedNotRun"`
	OutcomeUnknown        int     `json:"outcomeUnknown"`
	Charges               int     `json:"charges"`
	DuplicateCharges      int     `json:"duplicateCharges"`
	MissingCharges        int     `json:"missingCharges"`
	NonIdempotentRanTwice int     `json:"nonIdempotentRanTwice"`
	DisallowedRuns        int     `json:"disallowedRuns"`
	CostPerRequest        float64 `json:"costPerRequest"`
	P50Ms                 float64 `json:"p50Ms"`
	P95Ms                 float64 `json:"p95Ms"`
	QualityShown          float64 `json:"qualityShown"`
	RollingInRuns         int     `json:"rollingInRuns"`
	InForceMs             int64   `json:"inForceMs"`
}

// Broken reports whether a promise was broken: a request got no complete response, a charge was missing or counted
// twice, a booking ran twice, or a version ran that the template does not allow.
func (r Report) Broken() bool {
	return r.CompleteResponses != r.Requests || r.DuplicateCharges+r.MissingCharges+r.NonIdempotentRanTwice+r.DisallowedRuns > 0
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) {
	line := func(name, format string, v any) { _, _ = fmt.Fprintf(w, "%-26s "+format+"\n", name, v) }
	line("requests", "%d", r.Requests)
	line("complete responses", "%d", r.CompleteResponses)
	line("refused, not run", "%d", r.RefusedNotRun)
	line("outcome unknown", "%d", r.OutcomeUnknown)
	line("charges", "%d", r.Charges)
	line("duplicate charges", "%d", r.DuplicateCharges)
	line("missing charges", "%d", r.MissingCharges)
	line("bookings run twice", "%d", r.NonIdempotentRanTwice)
	line("disallowed runs", "%d", r.DisallowedRuns)
	line("cost per request", "%.0f micro-units", r.CostPerRequest)
	line("latency p50", "%.1f ms", r.P50Ms)
	line("latency p95", "%.1f ms", r.P95Ms)
	line("good answers shown", "%.3f", r.QualityShown)
	line("runs of rolling-in version", "%d", r.RollingInRuns)
	line("template in force in", "%d ms", r.InForceMs)
}

// report compares the responses that callers got and the stored charges with what the stand-ins ran.
func (l *load) report(w *world.Environment, bill charge.Bill) Report {
	r := Report{
		Requests: len(l.completed), RefusedNotRun: l.outcomes[fault.NotRun], OutcomeUnknown: l.outcomes[fault.Unknown],
		Charges: len(bill.Charges), DuplicateCharges: bill.Merged,
		P50Ms: float64(l.latencyMicros.ValueAtQuantile(50)) / microsPerMillisecond,
		P95Ms: float64(l.latencyMicros.ValueAtQuantile(95)) / microsPerMillisecond,
	}
	r.QualityShown = 1 - float64(l.poorAnswers)/float64(max(1, l.completeChats))
	charged := map[string]bool{}
	totalCost := int64(0)
	for _, c := range bill.Charges {
		charged[c.GetRequestId()] = true
		totalCost += c.GetMicroUnits()
	}
	for id, ok := range l.completed {
		if ok {
			r.CompleteResponses++
		}
		if ok && !charged[id] {
			r.MissingCharges++
		}
	}
	r.CostPerRequest = float64(totalCost) / float64(max(1, len(bill.Charges)))
	r.countRuns(w)
	return r
}

// countRuns counts disallowed runs, runs of the rolling-in version, and bookings that ran twice.
func (r *Report) countRuns(w *world.Environment) {
	allowed := map[string]bool{"quill-small@3": true, "quill-medium@2": true, "quill-large@1": true, "quill-medium@3": true}
	for _, e := range w.EngineByID {
		for _, run := range e.Runs() {
			if !allowed[run.Version] {
				r.DisallowedRuns++
			}
			if run.Version == "quill-medium@3" {
				r.RollingInRuns++
			}
		}
	}
	ran := map[string]int{}
	for _, b := range w.BookingByID {
		for id, n := range b.Runs() {
			ran[id] += n
		}
	}
	for _, n := range ran {
		if n > 1 {
			r.NonIdempotentRanTwice++
		}
	}
}
