package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream; an event has a few hundred bytes.
const maxEventBytes = 64 << 10

// eventReader splits a stream into complete events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

// readBufferBytes is the size of a stream's read buffer.
const readBufferBytes = 4 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// next returns the bytes of one event with its empty line, and its ID; the bytes are valid until the next call.
//
// At the end of the stream it returns an incomplete event, if there is one, together with io.EOF.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.buf) < maxEventBytes {
			continue
		}
		if err != nil {
			return e.buf, id, err
		}
		if len(e.buf) > maxEventBytes {
			return e.buf, id, errors.Newf("an event exceeds %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(e.buf) > len(line) {
			return e.buf, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// follows reports whether the event with an ID may come after the one with the previous ID. IDs that are no numbers
// must differ only.
func follows(id, previous string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	p, previousErr := strconv.ParseInt(previous, 10, 64)
	if err == nil && previousErr == nil {
		return n > p
	}
	return id != "" && id != previous
}

// buffered reports whether bytes of another event are already read.
func (e *eventReader) buffered() bool { return e.r.Buffered() > 0 }
