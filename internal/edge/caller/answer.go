package caller

import (
	"bufio"
	"net/http"
	"strconv"
	"time"
)

// chatResponse writes the response to a model request. Each write to the connection has a timeout, so that a caller that
// does not read can't block the daemon.
type chatResponse struct {
	http.ResponseWriter
	control      *http.ResponseController
	buf          *bufio.Writer
	writeTimeout time.Duration
	// addHeaders sets further headers, once the version that serves the request is known.
	addHeaders func(h http.Header, version string)
	started    bool
	streaming  bool
}

const responseBufferBytes = 16 << 10

func newChatResponse(w http.ResponseWriter, writeTimeout time.Duration, addHeaders func(http.Header, string)) *chatResponse {
	return &chatResponse{
		ResponseWriter: w, control: http.NewResponseController(w), buf: bufio.NewWriterSize(w, responseBufferBytes),
		writeTimeout: writeTimeout, addHeaders: addHeaders,
	}
}

// Begin sends the status and the headers.
func (r *chatResponse) Begin(version string, attempts int, contentType string) {
	h := r.Header()
	h.Set("Content-Type", contentType)
	h.Set(VersionHeader, version)
	h.Set(AttemptsHeader, strconv.Itoa(attempts))
	r.addHeaders(h, version)
	r.started = true
	r.streaming = contentType == "text/event-stream"
	r.WriteHeader(http.StatusOK)
}

// Write buffers a part of the body and sends it when the buffer is full.
func (r *chatResponse) Write(p []byte) (int, error) {
	if r.buf.Available() < len(p) {
		r.extendWriteDeadline()
	}
	return r.buf.Write(p)
}

// Flush sends the buffered part of the body to the caller.
func (r *chatResponse) Flush() error {
	r.extendWriteDeadline()
	if err := r.buf.Flush(); err != nil {
		return err
	}
	return r.control.Flush()
}

// extendWriteDeadline gives the caller the full write timeout for what is sent next.
func (r *chatResponse) extendWriteDeadline() {
	_ = r.control.SetWriteDeadline(time.Now().Add(r.writeTimeout))
}

// finish sends what is left in the buffer.
func (r *chatResponse) finish() { _ = r.buf.Flush() }

// fail ends a response that has begun. A stream gets an error event and no [DONE]; any other response is truncated by
// closing the connection.
func (r *chatResponse) fail(err error, requestID string) {
	if !r.streaming {
		panic(http.ErrAbortHandler)
	}
	_, _ = r.buf.WriteString("data: ")
	_, _ = r.buf.Write(errorBody(err, requestID))
	_, _ = r.buf.WriteString("\n\n")
	_ = r.Flush()
}
