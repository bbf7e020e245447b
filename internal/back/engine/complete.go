package engine

import (
	"context"
	"io"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/pollencourse/pollencourse/internal/decide/balance"
)

// Usage is the tokens that an answer used.
type Usage struct {
	Prompt     int64
	Completion int64
}

// CompleteResponse is a whole answer of a request that does not stream.
type CompleteResponse struct {
	Body  []byte
	Text  string
	Usage Usage
	// Confidence is the mean token probability in [0, 1]; it is negative if unknown.
	Confidence float64
	Load       balance.Report
}

// Complete sends an attempt and reads its whole answer.
func (c *Client) Complete(ctx context.Context, call Call) (*CompleteResponse, *Failure) {
	a, f := c.open(ctx, call)
	if f != nil {
		return &CompleteResponse{Load: loadOf(a)}, f
	}
	defer a.resp.Body.Close()
	w := &CompleteResponse{Load: a.load}
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, int64(c.maxBytes)+1))
	switch {
	case ctx.Err() != nil:
		return w, &Failure{Progress: ResponseStarted, Reason: Cancelled, Cause: ctx.Err()}
	case err != nil:
		return w, &Failure{Progress: ResponseStarted, Reason: Incomplete, Cause: err}
	case len(body) > c.maxBytes:
		return w, &Failure{Progress: ResponseStarted, Reason: TooLarge, Cause: errors.Newf("answer exceeds %d bytes", c.maxBytes)}
	}
	w.Body = body
	return w, w.read()
}

func loadOf(a *answer) balance.Report {
	if a == nil {
		return balance.Report{}
	}
	return a.load
}

// answerFields are the parts of an answer that the router needs, in the order of their use.
var answerFields = []string{
	"choices.0.finish_reason", "choices.0.message.content", "usage.prompt_tokens", "usage.completion_tokens",
	"choices.0.logprobs.content.#.logprob",
}

// read checks that the body is a whole answer and takes out what the router needs.
func (w *CompleteResponse) read() *Failure {
	if !gjson.ValidBytes(w.Body) {
		return &Failure{Progress: ResponseStarted, Reason: Incomplete, Cause: errors.New("answer is not JSON")}
	}
	f := gjson.GetManyBytes(w.Body, answerFields...)
	if f[0].String() == "" {
		return &Failure{Progress: ResponseStarted, Reason: Incomplete, Cause: errors.New("no finish reason")}
	}
	w.Text = f[1].String()
	w.Usage = Usage{Prompt: f[2].Int(), Completion: f[3].Int()}
	w.Confidence = meanProbability(f[4].Array())
	return nil
}

// meanProbability is the geometric mean of token probabilities, or -1 without any.
func meanProbability(logprobs []gjson.Result) float64 {
	if len(logprobs) == 0 {
		return -1
	}
	sum := 0.0
	for _, p := range logprobs {
		sum += p.Float()
	}
	return math.Exp(sum / float64(len(logprobs)))
}
