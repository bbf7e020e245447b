package cases

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, one line each, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), strings.TrimRight(line, "\n"))
}

// Say writes a line and prints it too.
func (r *Record) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Add(format, args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
