package trial

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const (
	// badTimeRatio is the multiple of the old version's median chunk time above which a response counts as bad.
	badTimeRatio = 4.0
	// fastPercentile is the percentile of the old version's chunk times that stands for a server with little load, and
	// slowTimeRatio the multiple of it above which a stream counts as slow.
	fastPercentile = 5.0
	slowTimeRatio  = 1.75
	// minBadSamples and minSlowSamples are the numbers of samples of the fleet below which no response counts as bad and
	// no stream as slow.
	minBadSamples  = 8
	minSlowSamples = 20
)

// Chunk times are recorded in units of timeUnit with one significant digit; longer ones count as maxTime.
const (
	timeUnit              = 100 * time.Microsecond
	maxTime               = time.Minute
	timeSignificantDigits = 1
)

// classTimes holds the old version's chunk times by class of responses.
type classTimes struct {
	own    map[string]*hdrhistogram.Histogram
	others map[string]*hdrhistogram.Histogram
	// takenSamples is the number of samples of all classes at the last call of takeChanged.
	takenSamples int64
}

func newClassTimes() classTimes {
	return classTimes{own: map[string]*hdrhistogram.Histogram{}, others: map[string]*hdrhistogram.Histogram{}}
}

func newTimeHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxTime/timeUnit), timeSignificantDigits)
}

// observe adds a chunk time of the old version.
func (t *classTimes) observe(class string, d time.Duration) {
	addTimes(t.own, class, int64(min(max(d, timeUnit), maxTime)/timeUnit), 1)
}

// minGrowth is the factor by which the samples have to grow before they are published again.
const minGrowth = 1.5

// takeChanged reports whether own has grown enough since it last returned true.
func (t *classTimes) takeChanged() bool {
	var samples int64
	for _, h := range t.own {
		samples += h.TotalCount()
	}
	if samples == 0 || float64(samples) < minGrowth*float64(t.takenSamples) {
		return false
	}
	t.takenSamples = samples
	return true
}

// addTimes adds n samples of a time in units of timeUnit; a time out of range, which only a faulty peer sends, is ignored.
func addTimes(hs map[string]*hdrhistogram.Histogram, class string, units, n int64) {
	if hs[class] == nil {
		hs[class] = newTimeHistogram()
	}
	if units >= 1 && units <= int64(maxTime/timeUnit) && n > 0 {
		_ = hs[class].RecordValues(units, n) // fails only for a value out of range
	}
}

func encodeTimes(class string, h *hdrhistogram.Histogram) *peerpb.ClassTime {
	out := &peerpb.ClassTime{Class: class}
	for _, bar := range h.Distribution() {
		if bar.Count > 0 {
			out.Times, out.Counts = append(out.Times, bar.From), append(out.Counts, bar.Count)
		}
	}
	return out
}

// isBad reports whether a response took far longer than the old version's usually do.
func (t *classTimes) isBad(class string, d time.Duration) bool {
	usual, samples := t.percentile(class, 50)
	return samples >= minBadSamples && float64(d) > badTimeRatio*float64(usual)
}

// slowAbove returns the chunk time above which a stream of a server with little load is slow; ok is false while too
// little is known.
func (t *classTimes) slowAbove(class string) (limit time.Duration, ok bool) {
	fast, samples := t.percentile(class, fastPercentile)
	return time.Duration(slowTimeRatio * float64(fast)), samples >= minSlowSamples
}

// percentile returns a percentile of the fleet's chunk times and the number of its samples.
func (t *classTimes) percentile(class string, p float64) (time.Duration, int64) {
	all := newTimeHistogram()
	for _, h := range []*hdrhistogram.Histogram{t.own[class], t.others[class]} {
		if h != nil {
			all.Merge(h)
		}
	}
	return time.Duration(all.ValueAtPercentile(p)) * timeUnit, all.TotalCount()
}

func (t *classTimes) toProto() []*peerpb.ClassTime {
	var out []*peerpb.ClassTime
	for class, h := range t.own {
		out = append(out, encodeTimes(class, h))
	}
	slices.SortFunc(out, func(a, b *peerpb.ClassTime) int { return strings.Compare(a.GetClass(), b.GetClass()) })
	return out
}

// replaceOthers replaces what the other daemons observed.
func (t *classTimes) replaceOthers(others []*peerpb.ServiceTrial) {
	clear(t.others)
	for _, o := range others {
		for _, c := range o.GetClassTimes() {
			for i := range min(len(c.GetTimes()), len(c.GetCounts())) {
				addTimes(t.others, c.GetClass(), c.GetTimes()[i], c.GetCounts()[i])
			}
		}
	}
}
