package ingress

import (
	"net/http"

	"github.com/pollencourse/pollencourse/internal/edge/intake"
)

// trackingWriter records whether the header of the response has been written, and counts what waits for the caller to read.
type trackingWriter struct {
	http.ResponseWriter
	entry         *intake.Entry
	headerWritten bool
}

// WriteHeader writes the header and records that it did.
func (t *trackingWriter) WriteHeader(status int) {
	t.headerWritten = true
	t.ResponseWriter.WriteHeader(status)
}

// uncountedWrite is the size up to which a write is within what each request counts for.
const uncountedWrite = 8 << 10

// Write writes a part of the response; it fails if there is no room for it while the caller reads.
func (t *trackingWriter) Write(p []byte) (int, error) {
	if n := int64(len(p)); n > uncountedWrite {
		if !t.entry.Grow(n) {
			t.entry.Refused("response")
			return 0, errNoRoom
		}
		defer t.entry.Shrink(n)
	}
	return t.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (t *trackingWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }
