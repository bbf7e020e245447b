package fault

import (
	"fmt"
	"slices"
	"strings"
)

// Pos is a position in a text file; lines and columns start at 1. Line 0 stands for the file as a whole.
type Pos struct {
	File   string
	Line   int
	Column int
}

// String formats the position as file:line:column, or as file if the line is 0.
func (p Pos) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// PositionedError is one fault of a text file with its remedy.
type PositionedError struct {
	Pos     Pos
	Message string
	Remedy  string
}

// Error formats the fault as "position: message (remedy)".
func (p PositionedError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", p.Pos, p.Message, p.Remedy)
}

// List collects all faults of a file, so that they are reported together.
type List struct {
	Faults []PositionedError
}

// Add appends one fault.
func (l *List) Add(pos Pos, remedy, format string, args ...any) {
	l.Faults = append(l.Faults, PositionedError{Pos: pos, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// Err returns the faults as one error in the order of their lines, or nil if there are none.
func (l *List) Err() error {
	if len(l.Faults) == 0 {
		return nil
	}
	slices.SortStableFunc(l.Faults, func(a, b PositionedError) int { return a.Pos.Line - b.Pos.Line })
	return New(Invalid, "correct the lines listed", "%s", l.text())
}

func (l *List) text() string {
	lines := make([]string, len(l.Faults))
	for i, f := range l.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
