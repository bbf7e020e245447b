package caller

import (
	"encoding/json"
	"net/http"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// errorBody encodes an error in the JSON format that OpenAI clients read.
func errorBody(err error, requestID string) []byte {
	e := fault.As(err)
	message := e.Message
	if e.Cause != nil {
		message += ": " + e.Cause.Error()
	}
	var body struct {
		Error struct {
			Message   string        `json:"message"`
			Type      fault.Kind    `json:"type"`
			Code      fault.Kind    `json:"code"`
			Outcome   fault.Outcome `json:"outcome"`
			Remedy    string        `json:"remedy"`
			RequestID string        `json:"requestID"`
		} `json:"error"`
	}
	body.Error.Message, body.Error.Type, body.Error.Code = message, e.Kind, e.Kind
	body.Error.Outcome, body.Error.Remedy, body.Error.RequestID = e.Outcome, e.Remedy, requestID
	out, _ := json.Marshal(body)
	return out
}

func writeError(w http.ResponseWriter, err error, requestID string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(RequestIDHeader, requestID)
	// Keeps OpenAI clients from retrying automatically: whether a retry is safe depends on the outcome.
	w.Header().Set("X-Should-Retry", "false")
	w.WriteHeader(fault.As(err).Kind.Status())
	_, _ = w.Write(errorBody(err, requestID))
}
