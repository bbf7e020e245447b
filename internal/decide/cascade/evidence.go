package cascade

import "math"

// BinCount is the number of bins of equal width into which the confidence range [0, 1] is divided.
const BinCount = 10

// Bin counts rated answers; the counts are fractional because old evidence decays.
type Bin struct {
	Rated float64
	Good  float64
}

// Evidence holds the ratings of one version's answers to one class of requests.
type Evidence struct {
	// Bins hold the ratings of answers with a confidence.
	Bins [BinCount]Bin
	// Observed counts the answers of each bin, rated or not.
	Observed [BinCount]float64
	// WithoutConfidence holds the ratings of answers without a confidence, such as streams.
	WithoutConfidence Bin
	// Escalated holds the ratings of answers to escalated requests.
	Escalated Bin
	// Prior is the quality that the operators expect before any rating, in [0, 1].
	Prior float64
}

// priorWeight is the number of ratings that the prior counts as.
const priorWeight = 4

// ConfidenceBin returns the index of the bin of a confidence.
func ConfidenceBin(confidence float64) int {
	b := int(confidence * BinCount)
	return min(max(b, 0), BinCount-1)
}

// Observe counts an answer with a confidence, rated or not.
func (e *Evidence) Observe(confidence float64) { e.Observed[ConfidenceBin(confidence)]++ }

// Rate adds the rating of an answer with a confidence.
func (e *Evidence) Rate(confidence float64, good bool) { e.Bins[ConfidenceBin(confidence)].add(good) }

// RateWithoutConfidence adds the rating of an answer without a confidence.
func (e *Evidence) RateWithoutConfidence(good bool) { e.WithoutConfidence.add(good) }

// RateEscalated adds the rating of an answer to an escalated request.
func (e *Evidence) RateEscalated(good bool) { e.Escalated.add(good) }

func (b *Bin) add(good bool) {
	b.Rated++
	if good {
		b.Good++
	}
}

// Decay multiplies all counts by a factor in (0, 1].
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

// RatingCount returns the number of ratings, without those of escalated requests.
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

// posterior returns the mean and variance of the Beta posterior of a bin, for a prior that counts as weight ratings.
func (b Bin) posterior(prior, weight float64) estimate {
	alpha := b.Good + prior*weight
	beta := b.Rated - b.Good + (1-prior)*weight
	n := alpha + beta
	return estimate{mean: alpha / n, variance: alpha * beta / (n * n * (n + 1))}
}

// directQuality estimates the quality of the version's answers in a direct plan. Rated answers can be spread over the
// bins differently from all answers, so each bin is weighted by its share of the observed answers.
func (e *Evidence) directQuality() estimate {
	var pooled Bin
	observed := e.observedTotal()
	if observed == 0 {
		return e.WithoutConfidence.posterior(e.Prior, priorWeight)
	}
	out := estimate{}
	for i, b := range e.Bins {
		share := e.Observed[i] / observed
		p := e.binQuality(i)
		out.mean += share * p.mean
		out.variance += share * share * p.variance
		pooled.Rated += b.Rated
	}
	if e.WithoutConfidence.Rated == 0 {
		return out
	}
	return combine(out, pooled.Rated, e.WithoutConfidence.posterior(e.Prior, priorWeight), e.WithoutConfidence.Rated)
}

// combine returns the mean of two estimates, weighted by their numbers of ratings na and nb.
func combine(a estimate, na float64, b estimate, nb float64) estimate {
	wa := (na + 1) / (na + nb + 2)
	wb := 1 - wa
	return estimate{mean: wa*a.mean + wb*b.mean, variance: wa*wa*a.variance + wb*wb*b.variance}
}

func (e *Evidence) observedTotal() float64 {
	n := 0.0
	for _, s := range e.Observed {
		n += s
	}
	return n
}

// binQuality estimates the quality within one bin; the prior is the quality over all bins, so that it dominates in a
// bin with few ratings.
func (e *Evidence) binQuality(i int) estimate {
	var all Bin
	for _, b := range e.Bins {
		all.Rated += b.Rated
		all.Good += b.Good
	}
	overall := all.posterior(e.Prior, priorWeight).mean
	return e.Bins[i].posterior(overall, priorWeight)
}

// accepted estimates the share and quality of the answers whose confidence is in firstBin or above.
func (e *Evidence) accepted(firstBin int) (share float64, quality estimate) {
	observed := e.observedTotal()
	if observed == 0 {
		return 0, estimate{}
	}
	for i := firstBin; i < BinCount; i++ {
		w := e.Observed[i] / observed
		p := e.binQuality(i)
		share += w
		quality.mean += w * p.mean
		quality.variance += w * w * p.variance
	}
	if share > 0 {
		quality.mean /= share
		quality.variance /= share * share
	}
	return share, quality
}

// escalatedQuality estimates the quality of the version's answers to escalated requests.
func (e *Evidence) escalatedQuality() estimate {
	return e.Escalated.posterior(e.directQuality().mean, priorWeight)
}

func (e estimate) lowerBound(z float64) float64 { return e.mean - z*math.Sqrt(e.variance) }
