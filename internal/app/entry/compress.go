package entry

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// maxConfigBytes bounds a configuration that a peer sends; an object of the store has at most a megabyte.
const maxConfigBytes = 8 << 20

// compress returns data in gzip format.
func compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return buf.Bytes(), err
}

// decompress reads data in gzip format that holds at most maxConfigBytes.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err == nil && len(out) > maxConfigBytes {
		err = errors.Newf("a compressed configuration holds more than %d bytes", maxConfigBytes)
	}
	return out, err
}
