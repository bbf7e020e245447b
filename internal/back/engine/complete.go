package engine

import (
	"context"
	"io"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/pollencourse/pollencourse/internal/decide/balance"
)

// Usage is the number of tokens of the prompt and of the completion.
type Usage struct {
	Prompt     int64
	Completion int64
}

// CompleteResponse is a response that is not streamed; after a failure, only the fields that were read before it are set.
type CompleteResponse struct {
	Body  []byte
	Text  string
	Usage Usage
	// Confidence is the geometric mean of the token probabilities, in [0, 1]; -1 if unknown.
	Confidence float64
	Load       balance.LoadReport
}

// Complete sends an attempt and reads the complete response.
func (c *Client) Complete(ctx context.Context, call Call) (*CompleteResponse, *Failure) {
	opened, f := c.send(ctx, call)
	if f != nil {
		return &CompleteResponse{Load: loadOf(opened)}, f
	}
	defer opened.resp.Body.Close()
	out := &CompleteResponse{Load: opened.load}
	body, err := io.ReadAll(io.LimitReader(opened.resp.Body, int64(c.maxResponseBytes)+1))
	switch {
	case ctx.Err() != nil:
		return out, &Failure{Progress: ResponseStarted, Reason: Cancelled, Cause: ctx.Err()}
	case err != nil:
		return out, &Failure{Progress: ResponseStarted, Reason: Incomplete, Cause: err}
	case len(body) > c.maxResponseBytes:
		return out, &Failure{Progress: ResponseStarted, Reason: TooLarge, Cause: errors.Newf("response exceeds %d bytes", c.maxResponseBytes)}
	}
	out.Body = body
	return out, out.parse()
}

func loadOf(opened *openResponse) balance.LoadReport {
	if opened == nil {
		return balance.LoadReport{}
	}
	return opened.load
}

// responseFields are the JSON paths that parse reads, in the order in which it uses them.
var responseFields = []string{
	"choices.0.finish_reason", "choices.0.message.content", "usage.prompt_tokens", "usage.completion_tokens",
	"choices.0.logprobs.content.#.logprob",
}

// parse checks that the body is a complete response and sets the text, the usage and the confidence from it.
func (r *CompleteResponse) parse() *Failure {
	if !gjson.ValidBytes(r.Body) {
		return &Failure{Progress: ResponseStarted, Reason: Incomplete, Cause: errors.New("response is not valid JSON")}
	}
	f := gjson.GetManyBytes(r.Body, responseFields...)
	if f[0].String() == "" {
		return &Failure{Progress: ResponseStarted, Reason: Incomplete, Cause: errors.New("response has no finish reason")}
	}
	r.Text = f[1].String()
	r.Usage = Usage{Prompt: f[2].Int(), Completion: f[3].Int()}
	r.Confidence = meanTokenProbability(f[4].Array())
	return nil
}

// meanTokenProbability returns the geometric mean of the token probabilities, or -1 if there are none.
func meanTokenProbability(logprobs []gjson.Result) float64 {
	if len(logprobs) == 0 {
		return -1
	}
	sum := 0.0
	for _, p := range logprobs {
		sum += p.Float()
	}
	return math.Exp(sum / float64(len(logprobs)))
}
