package caller

import (
	"bufio"
	"net/http"
	"strconv"
	"time"
)

// answer writes one answer to a caller, with a bound on how slowly it may read.
type answer struct {
	http.ResponseWriter
	control *http.ResponseController
	buf     *bufio.Writer
	timeout time.Duration
	// onHead sets further headers once the version is known.
	onHead func(h http.Header, version string)
	begun  bool
	stream bool
}

const answerBuffer = 16 << 10

func newAnswer(w http.ResponseWriter, timeout time.Duration, onHead func(http.Header, string)) *answer {
	return &answer{
		ResponseWriter: w, control: http.NewResponseController(w), buf: bufio.NewWriterSize(w, answerBuffer),
		timeout: timeout, onHead: onHead,
	}
}

// Begin sends the head of the answer.
func (a *answer) Begin(version string, attempts int, contentType string) {
	h := a.Header()
	h.Set("Content-Type", contentType)
	h.Set(VersionHeader, version)
	h.Set(AttemptsHeader, strconv.Itoa(attempts))
	a.onHead(h, version)
	a.begun = true
	a.stream = contentType == "text/event-stream"
	a.WriteHeader(http.StatusOK)
}

// Write buffers a part of the body.
func (a *answer) Write(p []byte) (int, error) {
	if a.buf.Available() < len(p) {
		a.extend()
	}
	return a.buf.Write(p)
}

// Flush sends what is buffered.
func (a *answer) Flush() error {
	a.extend()
	if err := a.buf.Flush(); err != nil {
		return err
	}
	return a.control.Flush()
}

// extend gives the caller more time to read what is sent next.
func (a *answer) extend() { _ = a.control.SetWriteDeadline(time.Now().Add(a.timeout)) }

// finish sends the rest.
func (a *answer) finish() { _ = a.buf.Flush() }

// fail ends an answer that has begun: a stream gets an error event and no end mark.
func (a *answer) fail(err error, requestID string) {
	if !a.stream {
		panic(http.ErrAbortHandler)
	}
	_, _ = a.buf.WriteString("data: ")
	_, _ = a.buf.Write(errorBody(err, requestID))
	_, _ = a.buf.WriteString("\n\n")
	_ = a.Flush()
}
