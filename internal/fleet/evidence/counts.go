package evidence

import (
	"cmp"
	"slices"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Key names one trial of a version in a template.
//
// Answers to requests that a first version failed are counted apart (After), since such
// requests are harder: a plan that sends more of them must not look like a worse version.
type Key struct {
	Template string
	Version  string
	Trial    int32
	Escalated    bool
}

// stages returns the keys of both kinds of answers.
func (k Key) stages() [2]Key {
	first, after := k, k
	first.Escalated, after.Escalated = false, true
	return [2]Key{first, after}
}

// Counts is what is counted for one key.
type Counts struct {
	Started int64
	Good    int64
	Poor    int64
	// Unrated counts answers that are out and will be rated.
	Unrated int64
}

func (c *Counts) add(o Counts) {
	c.Started += o.Started
	c.Good += o.Good
	c.Poor += o.Poor
	c.Unrated += o.Unrated
}

// totals holds the counts of versions and the demand of accounts.
type totals struct {
	versions map[Key]Counts
	demand   map[string]float64
	daemons  uint32
}

func newTotals() *totals {
	return &totals{versions: map[Key]Counts{}, demand: map[string]float64{}}
}

// addRecord sums a published record; the unrated answers of a lost daemon will never be rated.
func (t *totals) addRecord(rec *peerpb.EvidenceRecord, live bool) {
	for _, v := range rec.GetVersions() {
		k := Key{v.GetTemplate(), v.GetVersion(), v.GetTrial(), v.GetAfter()}
		c := t.versions[k]
		o := Counts{Started: v.GetStarted(), Good: v.GetRatedGood(), Poor: v.GetRatedPoor(), Unrated: v.GetUnrated()}
		if !live {
			o.Unrated = 0
		}
		c.add(o)
		t.versions[k] = c
	}
	if !live {
		return
	}
	t.daemons += rec.GetDaemons()
	for _, d := range rec.GetDemands() {
		t.demand[d.GetAccount()] += d.GetRate()
	}
}

// record returns the totals as a message, in a fixed order so that equal totals give equal bytes.
func (t *totals) record() *peerpb.EvidenceRecord {
	rec := &peerpb.EvidenceRecord{Daemons: t.daemons}
	for k, c := range t.versions {
		rec.Versions = append(rec.Versions, &peerpb.VersionEvidence{
			Template: k.Template, Version: k.Version, Trial: k.Trial, After: k.Escalated,
			Started: c.Started, RatedGood: c.Good, RatedPoor: c.Poor, Unrated: c.Unrated,
		})
	}
	slices.SortFunc(rec.Versions, func(a, b *peerpb.VersionEvidence) int {
		return cmp.Or(cmp.Compare(a.GetTemplate(), b.GetTemplate()), cmp.Compare(a.GetVersion(), b.GetVersion()), cmp.Compare(a.GetTrial(), b.GetTrial()), cmp.Compare(a.GetStarted(), b.GetStarted()))
	})
	for a, r := range t.demand {
		rec.Demands = append(rec.Demands, &peerpb.AccountDemand{Account: a, Rate: r})
	}
	slices.SortFunc(rec.Demands, func(a, b *peerpb.AccountDemand) int { return cmp.Compare(a.GetAccount(), b.GetAccount()) })
	return rec
}
