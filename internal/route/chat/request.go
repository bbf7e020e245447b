package chat

import (
	"encoding/json"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Request is a model request whose caller is known.
type Request struct {
	Policy    *template.Policy
	Class     template.Class
	RequestID string
	// SessionVersion is the version that the caller's session has, if any.
	SessionVersion string
	Deadline       time.Time
	Priority       int
	MaySettle      bool
	Chat           Chat
}

// Chat is the part of a chat completion request that routing needs.
type Chat struct {
	// Model is "auto", a model or a version.
	Model        string
	Stream       bool
	IncludeUsage bool
	Logprobs     bool
	// Prompt is the text of the last message, Prefix that of the first.
	Prompt string
	Prefix string
	fields map[string]json.RawMessage
}

const badChat = "send an OpenAI chat completion request"

// ParseChat reads a chat completion request.
func ParseChat(body []byte) (Chat, error) {
	var c Chat
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return Chat{}, fault.New(fault.BadRequest, badChat, "body is not a JSON object").WithCause(err)
	}
	var in struct {
		Model         string `json:"model"`
		Stream        bool   `json:"stream"`
		Logprobs      bool   `json:"logprobs"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
		Messages []struct {
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return Chat{}, fault.New(fault.BadRequest, badChat, "a field has the wrong type").WithCause(err)
	}
	if len(in.Messages) == 0 {
		return Chat{}, fault.New(fault.BadRequest, badChat, "messages are missing")
	}
	c.Model, c.Stream, c.Logprobs, c.IncludeUsage = in.Model, in.Stream, in.Logprobs, in.StreamOptions.IncludeUsage
	c.Prefix = text(in.Messages[0].Content)
	c.Prompt = text(in.Messages[len(in.Messages)-1].Content)
	return c, nil
}

// text returns the content of a message, which may be a string or a list of parts.
func text(content json.RawMessage) string {
	var s string
	if json.Unmarshal(content, &s) == nil {
		return s
	}
	return string(content)
}

// body returns the request as an engine gets it.
func (c Chat) body(version string, priority int, wantLogprobs bool) ([]byte, error) {
	out := make(map[string]json.RawMessage, len(c.fields)+4)
	for k, v := range c.fields {
		out[k] = v
	}
	set := func(key string, v any) {
		raw, err := json.Marshal(v)
		if err == nil {
			out[key] = raw
		}
	}
	set("model", version)
	set("priority", priority)
	if c.Stream {
		set("stream_options", struct {
			IncludeUsage bool `json:"include_usage"`
		}{true})
	}
	if wantLogprobs && !c.Stream {
		set("logprobs", true)
	}
	return json.Marshal(out)
}

// stripLogprobs removes log-probabilities that the caller did not ask for.
func stripLogprobs(body []byte) []byte {
	var fields map[string]json.RawMessage
	var choices []map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["choices"], &choices) != nil {
		return body
	}
	for _, c := range choices {
		delete(c, "logprobs")
	}
	raw, err := json.Marshal(choices)
	if err != nil {
		return body
	}
	fields["choices"] = raw
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}
