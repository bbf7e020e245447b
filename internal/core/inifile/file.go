package inifile

import (
	"strings"

	"gopkg.in/ini.v1"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Key is one key of a section with its position.
type Key struct {
	Name  string
	Value string
	Pos   fault.Pos
}

// Section is one section; "[version small@3]" has kind "version" and name "small@3".
type Section struct {
	Kind string
	Name string
	Pos  fault.Pos
	Keys []Key
}

// File is a parsed INI file.
type File struct {
	Name     string
	Sections []Section
}

const syntaxRemedy = "write [section] headers and key = value lines"

// Parse parses an INI text; positions give name as the file. Duplicate sections and keys are faults.
func Parse(name string, data []byte) (*File, error) {
	opts := ini.LoadOptions{KeyValueDelimiters: "=", AllowNonUniqueSections: true, IgnoreContinuation: true}
	parsed, err := ini.LoadSources(opts, data)
	if err != nil {
		var list fault.List
		message := strings.TrimSpace(err.Error())
		list.Add(syntaxPos(name, string(data), message), syntaxRemedy, "%s", message)
		return nil, list.Err()
	}
	lines := indexLines(name, string(data))
	f := &File{Name: name}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		f.Sections = append(f.Sections, convertSection(name, s, lines))
	}
	return f, lines.duplicates()
}

// syntaxPos returns the position of the line that a syntax error quotes, or of the first line if it quotes none.
func syntaxPos(name, text, message string) fault.Pos {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line != "" && strings.HasSuffix(message, line) {
			return fault.Pos{File: name, Line: i + 1, Column: 1}
		}
	}
	return fault.Pos{File: name, Line: 1, Column: 1}
}

func convertSection(file string, s *ini.Section, lines *lineIndex) Section {
	kind, rest, _ := strings.Cut(s.Name(), " ")
	pos := lines.first(s.Name(), "")
	sec := Section{Kind: kind, Name: strings.TrimSpace(rest), Pos: pos}
	for _, k := range s.Keys() {
		pos := lines.first(s.Name(), k.Name())
		if pos.Line == 0 {
			pos = fault.Pos{File: file, Line: sec.Pos.Line, Column: 1}
		}
		sec.Keys = append(sec.Keys, Key{Name: k.Name(), Value: k.Value(), Pos: pos})
	}
	return sec
}
