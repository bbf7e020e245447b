package cascade

// Exploration sends a small share of requests through a cheap version whose answer
// is rated but never used, so that it is learned without exposing anyone.
const (
	exploreShare    = 0.05
	exploreRatings  = 150
	exploreMinShare = 0.002
)

// ExploreShare returns the share of requests on which a version is worth trying unseen.
func ExplorationShare(e *Evidence) float64 {
	rated := e.RatingCount()
	if rated >= exploreRatings {
		return exploreMinShare
	}
	return exploreShare * (1 - rated/exploreRatings)
}

// Shadow returns a plan that tries a version first and always answers with the second.
func Shadow(first, second string) Plan {
	return Plan{First: first, Second: second, Threshold: 2}
}
