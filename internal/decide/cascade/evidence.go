package cascade

import "math"

// BinCount is the number of equal bins of the confidence range [0, 1].
const BinCount = 10

// Bin counts rated answers whose confidence fell into one bin.
type Bin struct {
	Rated float64
	Good  float64
}

// Evidence is what is known of one version in one class.
type Evidence struct {
	// Bins hold ratings of answers whose confidence is known.
	Bins [BinCount]Bin
	// Seen counts the answers of each bin, rated or not.
	Observed [BinCount]float64
	// Plain holds ratings of answers without a confidence, such as streams.
	WithoutConfidence Bin
	// After holds ratings of answers that followed a rejected first try.
	Escalated Bin
	// Prior is the quality believed before any rating, in [0, 1].
	Prior float64
}

// priorWeight is how many ratings the operators' belief counts for.
const priorWeight = 4

// BinOf returns the bin of a confidence.
func ConfidenceBin(confidence float64) int {
	b := int(confidence * BinCount)
	return min(max(b, 0), BinCount-1)
}

// Observe counts an answer of which the confidence is known.
func (e *Evidence) Observe(confidence float64) { e.Observed[ConfidenceBin(confidence)]++ }

// Rate adds the rating of an answer with a confidence.
func (e *Evidence) Rate(confidence float64, good bool) { e.Bins[ConfidenceBin(confidence)].add(good) }

// RatePlain adds the rating of an answer without a confidence.
func (e *Evidence) RateWithoutConfidence(good bool) { e.WithoutConfidence.add(good) }

// RateAfter adds the rating of an answer that followed a rejected first try.
func (e *Evidence) RateEscalated(good bool) { e.Escalated.add(good) }

func (b *Bin) add(good bool) {
	b.Rated++
	if good {
		b.Good++
	}
}

// Decay lets old evidence fade by a factor in (0, 1].
func (e *Evidence) Decay(factor float64) {
	for i := range e.Bins {
		e.Bins[i].scale(factor)
		e.Observed[i] *= factor
	}
	e.WithoutConfidence.scale(factor)
	e.Escalated.scale(factor)
}

func (b *Bin) scale(factor float64) {
	b.Rated *= factor
	b.Good *= factor
}

// Rated returns the number of ratings.
func (e *Evidence) RatingCount() float64 {
	n := e.WithoutConfidence.Rated
	for _, b := range e.Bins {
		n += b.Rated
	}
	return n
}

// estimate is a mean with its variance.
type estimate struct {
	mean     float64
	variance float64
}

// posterior is the Beta posterior of a bin.
func (b Bin) posterior(prior, weight float64) estimate {
	alpha := b.Good + prior*weight
	beta := b.Rated - b.Good + (1-prior)*weight
	n := alpha + beta
	return estimate{mean: alpha / n, variance: alpha * beta / (n * n * (n + 1))}
}

// direct estimates the quality of the version's answers taken as they come.
//
// Rated answers are a sample that may favour some bins, so each bin counts by how often it is seen.
func (e *Evidence) direct() estimate {
	var pooled Bin
	seen := e.seenTotal()
	if seen == 0 {
		return e.WithoutConfidence.posterior(e.Prior, priorWeight)
	}
	out := estimate{}
	for i, b := range e.Bins {
		share := e.Observed[i] / seen
		p := e.binEstimate(i)
		out.mean += share * p.mean
		out.variance += share * share * p.variance
		pooled.Rated += b.Rated
	}
	if e.WithoutConfidence.Rated == 0 {
		return out
	}
	return combine(out, pooled.Rated, e.WithoutConfidence.posterior(e.Prior, priorWeight), e.WithoutConfidence.Rated)
}

// combine weighs two estimates by the number of ratings behind them.
func combine(a estimate, na float64, b estimate, nb float64) estimate {
	wa := (na + 1) / (na + nb + 2)
	wb := 1 - wa
	return estimate{mean: wa*a.mean + wb*b.mean, variance: wa*wa*a.variance + wb*wb*b.variance}
}

func (e *Evidence) seenTotal() float64 {
	n := 0.0
	for _, s := range e.Observed {
		n += s
	}
	return n
}

// binEstimate estimates the quality within one bin; a bin with few ratings leans on the whole.
func (e *Evidence) binEstimate(i int) estimate {
	var all Bin
	for _, b := range e.Bins {
		all.Rated += b.Rated
		all.Good += b.Good
	}
	overall := all.posterior(e.Prior, priorWeight).mean
	return e.Bins[i].posterior(overall, priorWeight)
}

// accepted estimates share and quality of answers in bins from first on.
func (e *Evidence) accepted(first int) (share float64, q estimate) {
	seen := e.seenTotal()
	if seen == 0 {
		return 0, estimate{}
	}
	for i := first; i < BinCount; i++ {
		w := e.Observed[i] / seen
		p := e.binEstimate(i)
		share += w
		q.mean += w * p.mean
		q.variance += w * w * p.variance
	}
	if share > 0 {
		q.mean /= share
		q.variance /= share * share
	}
	return share, q
}

// after estimates the quality of this version on requests that a first try failed.
func (e *Evidence) after() estimate {
	return e.Escalated.posterior(e.direct().mean, priorWeight)
}

func (e estimate) lower(z float64) float64 { return e.mean - z*math.Sqrt(e.variance) }
