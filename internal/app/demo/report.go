package demo

import (
	"fmt"
	"io"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/fleet/charge"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

// Report is what the demo saw.
type Report struct {
	Requests              int     `json:"requests"`
	WholeAnswers          int     `json:"wholeAnswers"`
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

// Broken reports whether a promise was broken.
func (r Report) Broken() bool {
	return r.WholeAnswers != r.Requests || r.DuplicateCharges+r.MissingCharges+r.NonIdempotentRanTwice+r.DisallowedRuns > 0
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) {
	line := func(name, format string, v any) { _, _ = fmt.Fprintf(w, "%-26s "+format+"\n", name, v) }
	line("requests", "%d", r.Requests)
	line("whole answers", "%d", r.WholeAnswers)
	line("refused, not run", "%d", r.RefusedNotRun)
	line("outcome unknown", "%d", r.OutcomeUnknown)
	line("charges", "%d", r.Charges)
	line("duplicate charges", "%d", r.DuplicateCharges)
	line("missing charges", "%d", r.MissingCharges)
	line("bookings run twice", "%d", r.NonIdempotentRanTwice)
	line("disallowed runs", "%d", r.DisallowedRuns)
	line("cost a request", "%.0f micro-units", r.CostPerRequest)
	line("latency p50", "%.1f ms", r.P50Ms)
	line("latency p95", "%.1f ms", r.P95Ms)
	line("good answers shown", "%.3f", r.QualityShown)
	line("runs of rolling-in version", "%d", r.RollingInRuns)
	line("template in force in", "%d ms", r.InForceMs)
}

// report compares what callers got with what the stand-ins saw.
func (l *load) report(w *world.Environment, bill charge.Bill) Report {
	r := Report{
		Requests: len(l.answered), RefusedNotRun: l.outcomes[fault.NotRun], OutcomeUnknown: l.outcomes[fault.Unknown],
		Charges: len(bill.Charges), DuplicateCharges: bill.Merged,
		P50Ms: float64(l.latency.ValueAtQuantile(50)) / millisecond,
		P95Ms: float64(l.latency.ValueAtQuantile(95)) / millisecond,
	}
	r.QualityShown = 1 - float64(l.poor)/float64(max(1, l.chats))
	charged := map[string]bool{}
	cost := int64(0)
	for _, c := range bill.Charges {
		charged[c.GetRequestId()] = true
		cost += c.GetMicroUnits()
	}
	for id, ok := range l.answered {
		if ok {
			r.WholeAnswers++
		}
		if ok && !charged[id] {
			r.MissingCharges++
		}
	}
	r.CostPerRequest = float64(cost) / float64(max(1, len(bill.Charges)))
	r.countRuns(w)
	return r
}

// countRuns looks at what engines and booking servers executed.
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
