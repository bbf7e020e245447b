package fault

import (
	"fmt"
	"slices"
	"strings"
)

// Pos is a place in a text file; lines and columns start at 1.
type Pos struct {
	File   string
	Line   int
	Column int
}

// String formats the position as file:line:column.
func (p Pos) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Positioned is one fault of a text file with its remedy.
type Positioned struct {
	Pos     Pos
	Message string
	Remedy  string
}

// Error formats the fault as "position: message (remedy)".
func (p Positioned) Error() string {
	return fmt.Sprintf("%s: %s (%s)", p.Pos, p.Message, p.Remedy)
}

// List collects all faults of a file, so that they are printed together.
type List struct {
	Faults []Positioned
}

// Add appends one fault.
func (l *List) Add(pos Pos, remedy, format string, args ...any) {
	l.Faults = append(l.Faults, Positioned{Pos: pos, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// Err returns the list as an error, or nil if it is empty.
func (l *List) Err() error {
	if len(l.Faults) == 0 {
		return nil
	}
	slices.SortStableFunc(l.Faults, func(a, b Positioned) int { return a.Pos.Line - b.Pos.Line })
	return New(Invalid, "mend the lines named", "%s", l.text())
}

func (l *List) text() string {
	lines := make([]string, len(l.Faults))
	for i, f := range l.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
