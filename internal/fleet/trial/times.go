package trial

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const (
	// badTimeRatio is the multiple of the old version's usual chunk time above which a response counts as bad.
	badTimeRatio = 4.0
	// slowTimeRatio is the one above which a stream counts as slow. It is small because the old version's servers are
	// loaded while the new version's are nearly idle, and as many streams of a good version exceed it as of the old one.
	slowTimeRatio = 1.25
	// minTimeSamples is the number of samples of the fleet below which no response counts as bad or slow.
	minTimeSamples = 8
)

// classTimes holds the old version's chunk times by class of responses.
type classTimes struct {
	own    map[string]meanTime
	others map[string]meanTime
	// published is what the other daemons know of own. It follows only when the samples of a class have doubled, since
	// each change makes a record larger.
	published map[string]meanTime
}

func newClassTimes() classTimes {
	return classTimes{own: map[string]meanTime{}, others: map[string]meanTime{}, published: map[string]meanTime{}}
}

// observe adds a chunk time of the old version.
func (t classTimes) observe(class string, d time.Duration) {
	m := t.own[class]
	m.observe(d)
	t.own[class] = m
	if m.samples >= 2*t.published[class].samples {
		t.published[class] = m
	}
}

// exceeds reports whether a chunk time is above the given multiple of the old version's usual one; ok is false while
// that one is not known.
func (t classTimes) exceeds(class string, d time.Duration, ratio float64) (exceeds, ok bool) {
	m := t.own[class]
	m.merge(t.others[class])
	if m.samples < minTimeSamples {
		return false, false
	}
	return logSeconds(d) > m.meanLogSeconds+math.Log(ratio), true
}

func (t classTimes) toProto() []*peerpb.ClassTime {
	var out []*peerpb.ClassTime
	for class, m := range t.published {
		out = append(out, &peerpb.ClassTime{Class: class, Samples: m.samples, MeanLogSeconds: m.meanLogSeconds})
	}
	slices.SortFunc(out, func(a, b *peerpb.ClassTime) int { return strings.Compare(a.GetClass(), b.GetClass()) })
	return out
}

// replaceOthers replaces what the other daemons observed.
func (t classTimes) replaceOthers(others []*peerpb.ServiceTrial) {
	clear(t.others)
	for _, o := range others {
		for _, c := range o.GetClassTimes() {
			m := t.others[c.GetClass()]
			m.merge(meanTime{c.GetMeanLogSeconds(), c.GetSamples()})
			t.others[c.GetClass()] = m
		}
	}
}

// meanTime is the mean logarithm of times in seconds.
type meanTime struct {
	meanLogSeconds float64
	samples        int64
}

func (m *meanTime) observe(d time.Duration) { m.merge(meanTime{logSeconds(d), 1}) }

func (m *meanTime) merge(other meanTime) {
	if other.samples <= 0 {
		return
	}
	m.samples += other.samples
	m.meanLogSeconds += float64(other.samples) / float64(m.samples) * (other.meanLogSeconds - m.meanLogSeconds)
}

// logSeconds counts times below 1 µs as 1 µs, since 0 has no logarithm.
func logSeconds(d time.Duration) float64 { return math.Log(max(d.Seconds(), 1e-6)) }
