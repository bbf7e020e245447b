package chat

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Request is a model request of an authenticated caller.
type Request struct {
	Policy    *template.Policy
	Class     template.Class
	RequestID string
	// SessionVersion is the version of the caller's session; empty without a session.
	SessionVersion string
	Deadline       time.Time
	Priority       int
	MaySettle      bool
	Chat           Chat
}

// Chat is the part of a chat completion request that routing needs.
type Chat struct {
	// Model is "auto", a model, a version, or empty, which means "auto".
	Model        string
	Stream       bool
	IncludeUsage bool
	Logprobs     bool
	// Prompt is the text of the last message, Prefix the text of the first.
	Prompt string
	Prefix string
	fields map[string]json.RawMessage
}

const chatRemedy = "send an OpenAI chat completion request"

// ParseChat parses a chat completion request.
//
// Of a duplicate field only the last value is used and sent to the engine.
func ParseChat(body []byte) (Chat, error) {
	var c Chat
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return Chat{}, fault.New(fault.BadRequest, chatRemedy, "body is not a JSON object").WithCause(err)
	}
	var streaming struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var messages []struct {
		Content json.RawMessage `json:"content"`
	}
	for _, f := range []struct {
		name string
		to   any
	}{
		{"model", &c.Model},
		{"stream", &c.Stream},
		{"logprobs", &c.Logprobs},
		{"stream_options", &streaming},
		{"messages", &messages},
	} {
		raw, ok := c.fields[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.to); err != nil {
			return Chat{}, fault.New(fault.BadRequest, chatRemedy, "field %q has the wrong type", f.name).WithCause(err)
		}
	}
	if len(messages) == 0 {
		return Chat{}, fault.New(fault.BadRequest, chatRemedy, "messages are missing")
	}
	c.IncludeUsage = streaming.IncludeUsage
	c.Prefix = messageText(messages[0].Content)
	c.Prompt = messageText(messages[len(messages)-1].Content)
	return c, nil
}

// messageText returns the content of a message: the text of a string, the JSON of a list of parts.
func messageText(content json.RawMessage) string {
	return gjson.ParseBytes(content).String()
}

// engineBody returns the body of the request to an engine.
func (c Chat) engineBody(version string, priority int, wantLogprobs bool) ([]byte, error) {
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

// stripLogprobs removes log-probabilities that the caller did not request.
func stripLogprobs(body []byte) []byte {
	for i := range gjson.GetBytes(body, "choices.#").Int() {
		stripped, err := sjson.DeleteBytes(body, "choices."+strconv.FormatInt(i, 10)+".logprobs")
		if err != nil {
			return body
		}
		body = stripped
	}
	return body
}
