package rater

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Client calls the rating service over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the rating service at url; timeout bounds each call.
func New(url string, timeout time.Duration) *Client {
	return &Client{url: url, http: &http.Client{Timeout: timeout}}
}

// Rate reports whether the service rates the answer to a prompt as good.
func (c *Client) Rate(ctx context.Context, prompt, answer string) (bool, error) {
	body, err := json.Marshal(struct {
		Prompt string `json:"prompt"`
		Answer string `json:"answer"`
	}{prompt, answer})
	if err != nil {
		return false, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return false, unavailableError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, unavailableError(errors.Newf("the rating service responded with status %s", resp.Status))
	}
	var out struct {
		Good bool `json:"good"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return false, unavailableError(err)
	}
	return out.Good, nil
}

func unavailableError(err error) error {
	return fault.New(fault.Unavailable, "check the rating service; roll-outs wait for it", "the rating service is unavailable").WithCause(err)
}
