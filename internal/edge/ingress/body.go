package ingress

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/edge/intake"
	"github.com/pollencourse/pollencourse/internal/route/forward"
)

const (
	// bodyTimeout bounds slow callers; the timeouts of the configuration are a few seconds.
	bodyTimeout = 15 * time.Second
	// firstBodyBytes is the buffer for a body of which nothing has arrived; it doubles with what arrives. A prompt of
	// 54,600 tokens has about 72 KB.
	firstBodyBytes = 16 << 10
	// unreadBodyTimeout bounds the time for which net/http reads the rest of a refused body, so that the caller gets the
	// response.
	unreadBodyTimeout = time.Second
)

// errNoRoom is the error of a body or a response for which the process has no room.
var errNoRoom = errors.New("no room")

// readBody reads the body of a request. It returns errNoRoom if the process can't hold it.
func readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits, entry *intake.Entry) ([]byte, error) {
	maxBytes := int64(limits.MaxBodyBytes)
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	tooLarge := fault.New(fault.TooLarge, "send a body within this limit", "request body exceeds the limit of %d bytes", maxBytes)
	switch {
	case r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > maxBytes:
		w.Header().Set("Connection", "close") // the body is not read
		return nil, tooLarge
	case r.ContentLength > 0:
		maxBytes = r.ContentLength
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only on a closed connection
	done := entry.ReadBody()
	body, err := readGrowing(http.MaxBytesReader(w, r.Body, maxBytes), maxBytes, entry)
	done()
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return nil, tooLarge
	case errors.Is(err, errNoRoom):
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, err
	case err != nil:
		return nil, fault.New(fault.BadRequest, "send the complete body within 15 s", "request body truncated, or not received within 15 s").WithCause(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// readGrowing reads up to maxBytes into a buffer that grows with the bytes that have arrived, each growth counted before.
func readGrowing(r io.Reader, maxBytes int64, entry *intake.Entry) ([]byte, error) {
	var buf []byte
	var end [1]byte // a read beyond the limit returns the end or the error of a body that is too large
	for {
		into := end[:]
		if size := int64(cap(buf)); int64(len(buf)) < maxBytes {
			if len(buf) == cap(buf) {
				larger := min(maxBytes, max(firstBodyBytes, 2*size))
				if !entry.Grow(larger - size) {
					return nil, errNoRoom
				}
				buf = append(make([]byte, 0, larger), buf...)
			}
			into = buf[len(buf):cap(buf)]
		}
		n, err := r.Read(into)
		if len(buf) < cap(buf) {
			buf = buf[:len(buf)+n]
		}
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil && !entry.Grow(0):
			return nil, errNoRoom // the body was dropped
		case err != nil:
			return nil, err
		}
	}
}

const (
	// refusedRetryAfter is how long a caller should wait that was refused for lack of room: stalled bodies are dropped by
	// then. It varies by refusedRetryAfterJitter, so that refused callers do not return together.
	refusedRetryAfter       = time.Second
	refusedRetryAfterJitter = 0.25
	// maxRetryAfterDivisor bounds it by a part of the time that the caller has left, for which it honours it.
	maxRetryAfterDivisor = 3
)

// shortage returns the error of a request that the process has no room for; nothing of it was sent to a server.
func shortage(req *forward.Request) error {
	d := time.Duration(float64(refusedRetryAfter) * (1 + refusedRetryAfterJitter*(2*rand.Float64()-1)))
	d = max(0, min(d, time.Until(req.Deadline)/maxRetryAfterDivisor))
	return fault.New(fault.Unavailable, "send it again later, or to another entry VM", "this daemon has no room for the request").WithRetryAfter(d)
}

// endUnreadBody bounds the time that the rest of a refused request's body may take.
func endUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails only on a closed connection
	}
}
