package rollout

import "math"

// Evidence is what the fleet knows of one version.
type Evidence struct {
	Started float64
	Good    float64
	Poor    float64
	// Unrated counts answers that are out without a rating and may still get one.
	Unrated float64
}

// growth is how many more unrated answers each good rating allows.
const growth = 0.5

// Allowance returns how many unrated answers may be out over the fleet at a time.
//
// Good ratings widen it, the less the more exposure weighs, and each poor one takes its
// answer's place away for good.
func Allowance(e Evidence, exposure int, weight float64) float64 {
	return math.Max(0, float64(exposure)+growth/weight*e.Good-e.Poor)
}

// Share returns this daemon's part of the allowance that is left.
//
// The parts of all daemons add up to the allowance: when it is smaller than the
// number of daemons, the first ones by rank get one answer each.
func DaemonShare(allowance float64, daemons, rank int) int {
	if daemons <= 0 {
		return 0
	}
	whole := int(allowance) / daemons
	if rank < int(allowance)%daemons {
		whole++
	}
	return whole
}
