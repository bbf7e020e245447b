package engine

import (
	"context"
	"encoding/json"
	"io"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/decide/balance"
)

// Usage is the tokens that an answer used.
type Usage struct {
	Prompt     int64
	Completion int64
}

// Whole is a whole answer of a request that does not stream.
type Whole struct {
	Body  []byte
	Text  string
	Usage Usage
	// Confidence is the mean token probability in [0, 1]; it is negative if unknown.
	Confidence float64
	Load       balance.Report
}

// Complete sends an attempt and reads its whole answer.
func (c *Client) Complete(ctx context.Context, call Call) (*Whole, *Failure) {
	a, f := c.open(ctx, call)
	if f != nil {
		return &Whole{Load: loadOf(a)}, f
	}
	defer a.resp.Body.Close()
	w := &Whole{Load: a.load}
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, int64(c.maxBytes)+1))
	switch {
	case ctx.Err() != nil:
		return w, &Failure{Sent: Answering, Reason: Cancelled, Cause: ctx.Err()}
	case err != nil:
		return w, &Failure{Sent: Answering, Reason: Incomplete, Cause: err}
	case len(body) > c.maxBytes:
		return w, &Failure{Sent: Answering, Reason: TooLarge, Cause: errors.Newf("answer exceeds %d bytes", c.maxBytes)}
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

// read checks that the body is a whole answer and takes out what the router needs.
func (w *Whole) read() *Failure {
	var in struct {
		Choices []struct {
			FinishReason string `json:"finish_reason"`
			Message      struct {
				Content string `json:"content"`
			} `json:"message"`
			Logprobs *struct {
				Content []struct {
					Logprob float64 `json:"logprob"`
				} `json:"content"`
			} `json:"logprobs"`
		} `json:"choices"`
		Usage struct {
			PromptTokens     int64 `json:"prompt_tokens"`
			CompletionTokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(w.Body, &in); err != nil {
		return &Failure{Sent: Answering, Reason: Incomplete, Cause: err}
	}
	if len(in.Choices) == 0 || in.Choices[0].FinishReason == "" {
		return &Failure{Sent: Answering, Reason: Incomplete, Cause: errors.New("no finish reason")}
	}
	w.Text = in.Choices[0].Message.Content
	w.Usage = Usage{Prompt: in.Usage.PromptTokens, Completion: in.Usage.CompletionTokens}
	w.Confidence = -1
	if lp := in.Choices[0].Logprobs; lp != nil && len(lp.Content) > 0 {
		sum := 0.0
		for _, t := range lp.Content {
			sum += t.Logprob
		}
		w.Confidence = math.Exp(sum / float64(len(lp.Content)))
	}
	return nil
}
