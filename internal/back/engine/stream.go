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

// Sink receives the events of a stream.
type Sink interface {
	// Event receives one data line without its line ending; the bytes are valid only during the call.
	Event(line []byte) error
	// Flush is called when no further event is buffered.
	Flush() error
}

// StreamResult describes a stream that ended, completely or not.
type StreamResult struct {
	Usage  Usage
	Chunks int
	// TimeToFirstChunk is the time from sending the attempt to the first chunk.
	TimeToFirstChunk time.Duration
	Load             balance.LoadReport
}

const (
	dataPrefix = "data:"
	// endOfStream is the data of the event that ends a complete stream.
	endOfStream       = "[DONE]"
	maxEventBytes     = 1 << 20
	streamBufferBytes = 32 << 10
)

var (
	nullFinishReason = []byte(`"finish_reason":null`)
	finishReasonKey  = []byte(`"finish_reason":`)
	usageKey         = []byte(`"usage":{`)
	choicesKey       = []byte(`"choices":`)
	idKey            = []byte(`"id":"`)
)

// errCallerGone marks errors of the [Sink], which are not the engine's fault.
var errCallerGone = errors.New("the caller closed the connection")

// Stream sends an attempt and forwards the events of its response to sink, except for the final [DONE].
func (c *Client) Stream(ctx context.Context, call Call, sink Sink) (*StreamResult, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	out := &StreamResult{}
	start := time.Now()
	opened, f := c.send(ctx, call)
	out.Load = loadOf(opened)
	if f != nil {
		return out, f
	}
	defer opened.resp.Body.Close()
	r := &streamReader{src: bufio.NewReaderSize(opened.resp.Body, streamBufferBytes), sink: sink, out: out, start: start}
	r.stallTimer = time.AfterFunc(c.stallTimeout, func() { cancel(errStalled) })
	defer r.stallTimer.Stop()
	err := r.run(c.stallTimeout)
	if err == nil {
		return out, nil
	}
	return out, streamFailure(ctx, err)
}

var errStalled = errors.New("the stream paused for longer than the stall timeout")

func streamFailure(ctx context.Context, err error) *Failure {
	f := &Failure{Progress: ResponseStarted, Reason: Incomplete, Cause: err}
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		f.Reason = Stalled
	case errors.Is(err, errForeignChunk):
		f.Reason = Mismatch
	case ctx.Err() != nil, errors.Is(err, errCallerGone):
		f.Reason = Cancelled
	}
	return f
}

var errForeignChunk = errors.New("a chunk carries the ID of another response")

// streamReader forwards the events of a stream and checks whether the response is complete.
type streamReader struct {
	src             *bufio.Reader
	sink            Sink
	out             *StreamResult
	start           time.Time
	stallTimer      *time.Timer
	id              []byte
	hasFinishReason bool
	longLine        []byte
	// skippedBytes is the length of the lines without data since the last chunk.
	skippedBytes int
}

func (r *streamReader) run(stallTimeout time.Duration) error {
	for {
		line, err := r.readLine()
		if err != nil {
			return r.endError(err)
		}
		done, err := r.handleLine(line)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
		if r.src.Buffered() == 0 {
			r.stallTimer.Reset(stallTimeout)
			if err := r.sink.Flush(); err != nil {
				return errors.Mark(err, errCallerGone)
			}
		}
	}
}

// endError returns the error for a stream that ended before [DONE].
func (r *streamReader) endError(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.New("the connection closed before [DONE]")
	}
	return err
}

// readLine reads one line; it assembles lines that are longer than the buffer.
func (r *streamReader) readLine() ([]byte, error) {
	line, err := r.src.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return bytes.TrimRight(line, "\r\n"), err
	}
	r.longLine = append(r.longLine[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(r.longLine) > maxEventBytes {
			return nil, errors.Newf("an event exceeds %d bytes", maxEventBytes)
		}
		line, err = r.src.ReadSlice('\n')
		r.longLine = append(r.longLine, line...)
	}
	return bytes.TrimRight(r.longLine, "\r\n"), err
}

// handleLine handles one line and reports whether it completes the response.
func (r *streamReader) handleLine(line []byte) (bool, error) {
	data, ok := bytes.CutPrefix(line, []byte(dataPrefix))
	if !ok {
		r.skippedBytes += len(line) + 1
		if r.skippedBytes > maxEventBytes {
			return false, errors.Newf("more than %d bytes came without a chunk", maxEventBytes)
		}
		return false, nil
	}
	r.skippedBytes = 0
	data = bytes.TrimLeft(data, " ")
	if string(data) == endOfStream {
		if !r.hasFinishReason {
			return false, errors.New("[DONE] came before a finish reason")
		}
		return true, nil
	}
	if !bytes.Contains(data, choicesKey) {
		return false, errors.New("an event is not a chunk of a completion")
	}
	if err := r.checkID(data); err != nil {
		return false, err
	}
	r.recordChunk(data)
	if err := r.sink.Event(line); err != nil {
		return false, errors.Mark(err, errCallerGone)
	}
	return false, nil
}

// checkID compares the chunk's ID with that of the first chunk.
func (r *streamReader) checkID(data []byte) error {
	_, rest, ok := bytes.Cut(data, idKey)
	if !ok {
		return nil
	}
	end := bytes.IndexByte(rest, '"')
	if end < 0 {
		return errors.New("a chunk is not valid JSON")
	}
	if r.id == nil {
		r.id = bytes.Clone(rest[:end])
		return nil
	}
	if !bytes.Equal(r.id, rest[:end]) {
		return errForeignChunk
	}
	return nil
}

func (r *streamReader) recordChunk(data []byte) {
	if r.out.Chunks == 0 {
		r.out.TimeToFirstChunk = time.Since(r.start)
	}
	r.out.Chunks++
	if bytes.Contains(data, finishReasonKey) && !bytes.Contains(data, nullFinishReason) {
		r.hasFinishReason = true
	}
	if bytes.Contains(data, usageKey) {
		r.recordUsage(data)
	}
}

func (r *streamReader) recordUsage(data []byte) {
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
