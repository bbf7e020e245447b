package rollout

import "math"

// Evidence counts the answers and ratings of one version over the fleet.
type Evidence struct {
	// Started counts all answers, rated or not.
	Started float64
	Good    float64
	Poor    float64
	// Unrated counts answers that are out without a rating and may still get one.
	Unrated float64
}

// unratedPerGoodRating is how many more unrated answers each good rating allows.
const unratedPerGoodRating = 0.5

// Allowance returns how many unrated answers may be out over the fleet at a time; without ratings it equals exposure.
//
// Each good rating raises it, by less if the weight of exposure is greater, and each poor
// rating lowers it by one permanently.
func Allowance(e Evidence, exposure int, weight float64) float64 {
	return math.Max(0, float64(exposure)+unratedPerGoodRating/weight*e.Good-e.Poor)
}

// DaemonShare returns the part of the allowance that the daemon of a rank may use, in answers.
//
// The shares of all daemons add up to the allowance, rounded down; what can't be divided
// evenly goes to the first daemons by rank, one answer each.
func DaemonShare(allowance float64, daemons, rank int) int {
	if daemons <= 0 {
		return 0
	}
	answers := int(allowance) / daemons
	if rank < int(allowance)%daemons {
		answers++
	}
	return answers
}
