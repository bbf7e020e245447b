package sizing

// Policy chooses the models of a request's attempts.
type Policy struct {
	// MinConfidence is the lowest confidence, from 0 to 100, at which an answer is kept.
	MinConfidence int
}

// First returns the model for the first attempt; models are ordered by size, the smallest first.
func (p Policy) First(models []string) string { return models[0] }

// ForSingleRun returns the model of a request that may run only once, so that an unsure answer can't be replaced: the largest
// if the servers have room for it, else the smallest, whose streams are the shortest. Models are ordered as for First.
func (p Policy) ForSingleRun(models []string, hasRoom func(model string) bool) string {
	if largest := models[len(models)-1]; hasRoom(largest) {
		return largest
	}
	return models[0]
}

// Next returns the model to escalate to after an answer of a model, or false if the answer is kept. A negative
// confidence means that the model reported none.
func (p Policy) Next(models []string, model string, confidence int) (string, bool) {
	largest := models[len(models)-1]
	if model == largest || confidence < 0 || confidence >= p.MinConfidence {
		return "", false
	}
	return largest, true
}
