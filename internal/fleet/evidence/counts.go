package evidence

import (
	"cmp"
	"slices"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Key identifies one trial of a version in a template.
//
// Answers to escalated requests, those that a first version failed to answer well, are
// counted under a key of their own: such requests are harder, and a version that gets more
// of them must not appear to be worse.
type Key struct {
	Template  string
	Version   string
	Trial     int32
	Escalated bool
}

// firstAndEscalated returns the keys for first requests and for escalated ones.
func (k Key) firstAndEscalated() [2]Key {
	first, escalated := k, k
	first.Escalated, escalated.Escalated = false, true
	return [2]Key{first, escalated}
}

// Counts holds the counts for one Key.
type Counts struct {
	Started int64
	Good    int64
	Poor    int64
	// Unrated is the number of answers that are still to be rated.
	Unrated int64
}

func (c *Counts) add(o Counts) {
	c.Started += o.Started
	c.Good += o.Good
	c.Poor += o.Poor
	c.Unrated += o.Unrated
}

// totals sums the counts of versions and the demand of accounts, in requests per second, over daemons.
type totals struct {
	versions map[Key]Counts
	demand   map[string]float64
	daemons  uint32
}

func newTotals() *totals {
	return &totals{versions: map[Key]Counts{}, demand: map[string]float64{}}
}

// addRecord adds a published record. Of a daemon that is not live, it leaves out the demand and
// the unrated answers, which will never be rated.
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

// record returns the totals as a message, sorted so that equal totals give equal bytes.
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
