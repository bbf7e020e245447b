package sizing

// Policy chooses the models of a request's attempts.
type Policy struct {
	// Threshold is the confidence, from 0 to 100, from which an answer is kept.
	MinConfidence int
}

// First returns the model of the first attempt; models are ordered by size.
func (p Policy) First(models []string) string { return models[0] }

// Next returns the model that should answer instead of one whose confidence is too low.
func (p Policy) Next(models []string, model string, confidence int) (string, bool) {
	largest := models[len(models)-1]
	if model == largest || confidence < 0 || confidence >= p.MinConfidence {
		return "", false
	}
	return largest, true
}
