package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/decide/balance"
)

// Sink takes the events of a stream.
type Sink interface {
	// Event takes one data line without its line end; the bytes are reused afterwards.
	Event(line []byte) error
	// Flush is called when no further event is at hand.
	Flush() error
}

// StreamResult is what is known of a stream when it ends.
type StreamResult struct {
	Usage  Usage
	Chunks int
	// TimeToFirstChunk is the time from sending to the first event.
	TimeToFirstChunk time.Duration
	Load             balance.Report
}

const (
	dataPrefix    = "data:"
	endMark       = "[DONE]"
	maxEventBytes = 1 << 20
	streamBuffer  = 32 << 10
)

var (
	finishNull = []byte(`"finish_reason":null`)
	finishKey  = []byte(`"finish_reason":`)
	usageKey   = []byte(`"usage":{`)
	idKey      = []byte(`"id":"`)
)

// errSink marks an error of the receiving side, which is not the engine's fault.
var errSink = errors.New("the caller went away")

// Stream sends an attempt and passes the events of its answer on, without the end mark.
func (c *Client) Stream(ctx context.Context, call Call, sink Sink) (*StreamResult, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	out := &StreamResult{}
	start := time.Now()
	a, f := c.open(ctx, call)
	out.Load = loadOf(a)
	if f != nil {
		return out, f
	}
	defer a.resp.Body.Close()
	r := &reader{src: bufio.NewReaderSize(a.resp.Body, streamBuffer), sink: sink, out: out, start: start}
	r.watch = time.AfterFunc(c.stall, func() { cancel(errStalled) })
	defer r.watch.Stop()
	err := r.run(c.stall)
	if err == nil {
		return out, nil
	}
	return out, streamFailure(ctx, err)
}

var errStalled = errors.New("the stream paused for too long")

func streamFailure(ctx context.Context, err error) *Failure {
	f := &Failure{Progress: ResponseStarted, Reason: Incomplete, Cause: err}
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		f.Reason = Stalled
	case errors.Is(err, errCrossed):
		f.Reason = Mismatch
	case ctx.Err() != nil, errors.Is(err, errSink):
		f.Reason = Cancelled
	}
	return f
}

var errCrossed = errors.New("a chunk belongs to another answer")

// reader passes events on and notes what shows that the answer is whole.
type reader struct {
	src      *bufio.Reader
	sink     Sink
	out      *StreamResult
	start    time.Time
	watch    *time.Timer
	id       []byte
	finished bool
	long     []byte
}

func (r *reader) run(stall time.Duration) error {
	for {
		line, err := r.line()
		if err != nil {
			return r.cut(err)
		}
		done, err := r.take(line)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
		if r.src.Buffered() == 0 {
			r.watch.Reset(stall)
			if err := r.sink.Flush(); err != nil {
				return errors.Mark(err, errSink)
			}
		}
	}
}

// cut explains the end of the connection before the end mark.
func (r *reader) cut(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.New("the connection closed before the end mark")
	}
	return err
}

// line reads one line; lines longer than the buffer are put together.
func (r *reader) line() ([]byte, error) {
	line, err := r.src.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return bytes.TrimRight(line, "\r\n"), err
	}
	r.long = append(r.long[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(r.long) > maxEventBytes {
			return nil, errors.Newf("an event exceeds %d bytes", maxEventBytes)
		}
		line, err = r.src.ReadSlice('\n')
		r.long = append(r.long, line...)
	}
	return bytes.TrimRight(r.long, "\r\n"), err
}

// take handles one line and reports whether the answer is whole.
func (r *reader) take(line []byte) (bool, error) {
	data, ok := bytes.CutPrefix(line, []byte(dataPrefix))
	if !ok {
		return false, nil
	}
	data = bytes.TrimLeft(data, " ")
	if string(data) == endMark {
		if !r.finished {
			return false, errors.New("the end mark came before a finish reason")
		}
		return true, nil
	}
	if err := r.checkID(data); err != nil {
		return false, err
	}
	r.note(data)
	if err := r.sink.Event(line); err != nil {
		return false, errors.Mark(err, errSink)
	}
	return false, nil
}

// checkID compares the chunk's ID with that of the first chunk.
func (r *reader) checkID(data []byte) error {
	_, rest, ok := bytes.Cut(data, idKey)
	if !ok {
		return nil
	}
	end := bytes.IndexByte(rest, '"')
	if end < 0 {
		return errors.New("a chunk is not JSON")
	}
	if r.id == nil {
		r.id = bytes.Clone(rest[:end])
		return nil
	}
	if !bytes.Equal(r.id, rest[:end]) {
		return errCrossed
	}
	return nil
}

func (r *reader) note(data []byte) {
	if r.out.Chunks == 0 {
		r.out.TimeToFirstChunk = time.Since(r.start)
	}
	r.out.Chunks++
	if bytes.Contains(data, finishKey) && !bytes.Contains(data, finishNull) {
		r.finished = true
	}
	if bytes.Contains(data, usageKey) {
		r.noteUsage(data)
	}
}

func (r *reader) noteUsage(data []byte) {
	var in struct {
		Usage struct {
			PromptTokens     int64 `json:"prompt_tokens"`
			CompletionTokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &in) == nil {
		r.out.Usage = Usage{Prompt: in.Usage.PromptTokens, Completion: in.Usage.CompletionTokens}
	}
}
