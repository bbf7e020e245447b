package poison

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// minEnds is the number of ends that convict a part if there were minRounds and they are at least one in
	// maxEndsPerSuspicion of the ends since the first one. At least minUnexplainedEnds of them have to be without a
	// convicted part.
	minEnds             = 4
	minUnexplainedEnds  = 3
	minRounds           = 3
	maxEndsPerSuspicion = 4
	// minContentEnds and minContentRounds take the place of minEnds and minRounds for the content of a request.
	minContentEnds   = 3
	minContentRounds = 2
	// minOtherEndsDivisor sets how many of the ends of a part have to be without the content that explains the most of
	// them: one in minOtherEndsDivisor.
	minOtherEndsDivisor = 8
	// manyEnds convict a part to which fewer ends are due, or in manyEndsRounds.
	manyEnds       = 8
	manyEndsRounds = 2
	// plausibleEnds is the number of ends from which a part may be the cause of an end rather than others.
	plausibleEnds = 3
	// comparableExposures is the ratio of exposures up to which the content with more ends is the cause of an end.
	comparableExposures = 2.0
	// maxChance is the highest probability of the ends of a convicted part if servers ended at random.
	maxChance = 1e-6
	// exposureQuantile is the quantile of a part's exposures that counts for all of its ends: a part crashes servers after
	// about the same time, while that until a random end varies. The longest ones may be those of a daemon that is busy.
	exposureQuantile = 0.75
	// similarExposures is the ratio up to which two such quantiles count as equal.
	similarExposures = 1.25
	// exposureError is added to exposures, which daemons that are busy see late.
	exposureError = 50 * time.Millisecond
	// minHazardSpan is the shortest time over which the rate of ends is measured.
	minHazardSpan = time.Second
	// maxNamedServers bounds the servers that a verdict names.
	maxNamedServers = 8
)

// Verdict says that a part, or the content of one request, crashes servers.
type Verdict struct {
	Part string
	// Ends is the number of server incarnations that ended under the part, Rounds how many of them one after the other:
	// the attempt at the next server was sent after the one before had ended. Servers that end together are one round.
	Ends   int
	Rounds int
	// Servers are the incarnations that ended, the first maxNamedServers of them.
	Servers []string
	// Since is when the first of them ended.
	Since time.Time
	// Chance is the probability of these ends if servers ended at random.
	Chance float64
}

// Case is what is judged besides the evidence.
type Case struct {
	Now time.Time
	// Servers is the number of servers of the site.
	Servers int
	// MinSpan is the least time since the first end, so that answers to sound requests can clear their parts.
	MinSpan time.Duration
	// Convicted reports whether a part is convicted already. It explains the ends of which it is a suspect: other parts need
	// minUnexplainedEnds besides them.
	Convicted func(part string) bool
}

// Evaluate returns the parts that crash servers: the one whose ends are the least likely to be random first, then the one of
// which that holds for the other ends, and so on.
func (e *Evidence) Evaluate(c Case) []Verdict {
	all := e.merged(c.Now)
	ends := slices.DeleteFunc(slices.Clone(all), func(end *serverEnd) bool { return end.holdsConvicted(c, false) })
	var out []Verdict
	for {
		due := attribute(ends)
		found := nextVerdicts(c, due, ends, all)
		if len(found) == 0 {
			return out
		}
		out = append(out, found...)
		ends = slices.DeleteFunc(ends, func(end *serverEnd) bool {
			_, suspected := end.suspects[found[0].Part]
			return slices.Contains(due[found[0].Part], end) || suspected && IsContent(found[0].Part)
		})
	}
}

// nextVerdicts returns the verdict on the part that explains the ends best, if the evidence suffices, and those on the parts
// that explain just the same ends. The ends are those of all that no part explains yet.
func nextVerdicts(c Case, due map[string][]*serverEnd, ends, all []*serverEnd) []Verdict {
	var out []Verdict
	overall, unexplained := countEnds(all), countEnds(ends)
	for part, dueEnds := range due {
		if IsContent(part) {
			// The other requests at the ends of a convicted content were there by chance. Those with a part in common may not
			// have been: of a part that crashes servers, each request may be convicted first.
			dueEnds = slices.DeleteFunc(slices.Clone(dueEnds), func(end *serverEnd) bool { return end.holdsConvicted(c, true) })
		}
		if v, ok := judge(c, part, dueEnds, ends, overall[part]-unexplained[part]); ok {
			out = append(out, v)
		}
	}
	if len(out) == 0 {
		return nil
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Chance, b.Chance), strings.Compare(a.Part, b.Part))
	})
	best := out[0].Part
	return slices.DeleteFunc(out, func(v Verdict) bool {
		return IsContent(v.Part) != IsContent(best) || !slices.Equal(due[v.Part], due[best])
	})
}

// holdsConvicted reports whether a convicted part, or a convicted content, is a suspect of the end.
func (s *serverEnd) holdsConvicted(c Case, content bool) bool {
	for part := range s.suspects {
		if IsContent(part) == content && c.Convicted(part) {
			return true
		}
	}
	return false
}

// explainedByOneContent reports whether the content of one request is a suspect of nearly all ends: then it is the request
// that crashes servers, not a part that others share with it.
func explainedByOneContent(ends []*serverEnd) bool {
	most, counts := 0, map[string]int{}
	for _, end := range ends {
		for part := range end.suspects {
			if IsContent(part) {
				counts[part]++
				most = max(most, counts[part])
			}
		}
	}
	return most > 1 && (len(ends)-most)*minOtherEndsDivisor < len(ends)
}

// cause is a suspect of ends that may have caused them.
type cause struct {
	part string
	// ends is the number of ends of which it is a suspect, exposure the exposure in seconds that counts for all of them.
	ends     int
	exposure float64
}

// plausibleCauses returns the causes of each end. A part that only one request brought is none: it would take the ends of a
// part that crashes servers with it.
func plausibleCauses(ends []*serverEnd) map[*serverEnd][]cause {
	out := map[*serverEnd][]cause{}
	for part, suspected := range suspectedEnds(ends) {
		if len(suspected) < plausibleEnds || !IsContent(part) && explainedByOneContent(suspected) {
			continue
		}
		for _, end := range suspected {
			out[end] = append(out[end], cause{part, len(suspected), exposureOf(part, suspected)})
		}
	}
	return out
}

// attribute returns, by part, the ends that the part explains as well as any other suspect: the one with the shortest
// exposures is the most plausible cause. Parts have to compare with parts only, contents with both.
func attribute(ends []*serverEnd) map[string][]*serverEnd {
	plausible := plausibleCauses(ends)
	out := map[string][]*serverEnd{}
	for _, end := range ends {
		causes := plausible[end]
		shortest, shortestOfParts := math.Inf(1), math.Inf(1)
		for _, c := range causes {
			shortest = min(shortest, c.exposure)
			if !IsContent(c.part) {
				shortestOfParts = min(shortestOfParts, c.exposure)
			}
		}
		for _, c := range causes {
			least := shortestOfParts
			if IsContent(c.part) {
				least = shortest
			}
			if c.exposure <= similarExposures*least && !c.metByChance(causes) {
				out[c.part] = append(out[c.part], end)
			}
		}
	}
	return out
}

// metByChance reports whether c is the content of a request that was there when another one, with more ends, ended the server.
func (c cause) metByChance(causes []cause) bool {
	return IsContent(c.part) && slices.ContainsFunc(causes, func(other cause) bool {
		return IsContent(other.part) && other.ends > c.ends && other.exposure <= comparableExposures*c.exposure
	})
}

// suspectedEnds returns the ends of which each part is a suspect. Once a part was answered at plausibleEnds of them, those at
// which its requests only waited no longer count.
func suspectedEnds(ends []*serverEnd) map[string][]*serverEnd {
	all, answering := map[string][]*serverEnd{}, map[string][]*serverEnd{}
	for _, end := range ends {
		for part, sus := range end.suspects {
			all[part] = append(all[part], end)
			if sus.Answering {
				answering[part] = append(answering[part], end)
			}
		}
	}
	for part, ends := range answering {
		if len(ends) >= plausibleEnds {
			all[part] = ends
		}
	}
	return all
}

// exposureOf returns the exposure in seconds that counts for all ends of a part.
func exposureOf(part string, ends []*serverEnd) float64 {
	exposures := make([]float64, len(ends))
	for i, end := range ends {
		exposures[i] = (end.suspects[part].Exposure + exposureError).Seconds()
	}
	slices.Sort(exposures)
	return stat.Quantile(exposureQuantile, stat.Empirical, exposures, nil)
}

// countEnds returns the number of ends of which each part is a suspect.
func countEnds(ends []*serverEnd) map[string]int {
	out := map[string]int{}
	for _, end := range ends {
		for part := range end.suspects {
			out[part]++
		}
	}
	return out
}

// judge returns the verdict on a part to which some of the unexplained ends are due. It is also a suspect of further ends,
// which other parts explain.
func judge(c Case, part string, due, ends []*serverEnd, further int) (Verdict, bool) {
	least, rounds := max(minUnexplainedEnds, minEnds-further), minRounds
	if IsContent(part) {
		least, rounds = minContentEnds, minContentRounds
	}
	if len(due) < least {
		return Verdict{}, false
	}
	v := Verdict{Part: part, Ends: len(due), Since: due[0].at}
	if c.Now.Sub(v.Since) < c.MinSpan {
		return v, false
	}
	sinceFirst := 0
	for _, end := range ends {
		if !end.at.Before(v.Since) {
			sinceFirst++
		}
	}
	var last time.Time
	for _, end := range due {
		if v.Rounds == 0 || !end.suspects[part].SentAt.Before(last) {
			v.Rounds++
			last = end.at
		}
		if len(v.Servers) < maxNamedServers {
			v.Servers = append(v.Servers, end.server)
		}
	}
	// The rate at which a server ends for other reasons.
	hazard := float64(sinceFirst-v.Ends+1) / (float64(max(1, c.Servers)) * max(minHazardSpan, c.Now.Sub(v.Since)).Seconds())
	v.Chance = math.Pow(math.Min(1, hazard*exposureOf(part, due)), float64(v.Ends))
	usual := v.Rounds >= rounds && v.Ends*maxEndsPerSuspicion >= sinceFirst
	return v, v.Chance <= maxChance && (usual || v.Ends >= manyEnds && v.Rounds >= manyEndsRounds)
}
