package cascade

// Exploration sends a small share of requests to a cheap version whose answer is rated but never used, so that its
// quality is learned without exposing callers. The share falls linearly from initialExplorationShare towards 0 as the
// ratings approach explorationRatings, and is minExplorationShare from there on.
const (
	initialExplorationShare = 0.05
	explorationRatings      = 150
	minExplorationShare     = 0.002
)

// ExplorationShare returns the share of requests on which to explore a version.
func ExplorationShare(e *Evidence) float64 {
	ratings := e.RatingCount()
	if ratings >= explorationRatings {
		return minExplorationShare
	}
	return initialExplorationShare * (1 - ratings/explorationRatings)
}

// Shadow returns a plan that sends the request to the first version and always answers with the second. No confidence
// reaches its threshold, since confidences are at most 1.
func Shadow(first, second string) Plan {
	return Plan{First: first, Second: second, Threshold: 2}
}
