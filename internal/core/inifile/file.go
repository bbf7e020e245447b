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

// Parse reads an INI text; name is used in positions.
func Parse(name string, data []byte) (*File, error) {
	opts := ini.LoadOptions{KeyValueDelimiters: "=", AllowNonUniqueSections: true, IgnoreContinuation: true}
	parsed, err := ini.LoadSources(opts, data)
	if err != nil {
		var list fault.List
		message := strings.TrimSpace(err.Error())
		list.Add(syntaxPos(name, string(data), message), syntaxRemedy, "%s", message)
		return nil, list.Err()
	}
	lines := scan(name, string(data))
	f := &File{Name: name}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		f.Sections = append(f.Sections, convert(name, s, lines))
	}
	return f, lines.duplicates()
}

// syntaxPos finds the line that a syntax error quotes; without one it is the first line.
func syntaxPos(name, text, message string) fault.Pos {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line != "" && strings.HasSuffix(message, line) {
			return fault.Pos{File: name, Line: i + 1, Column: 1}
		}
	}
	return fault.Pos{File: name, Line: 1, Column: 1}
}

func convert(file string, s *ini.Section, lines *lineIndex) Section {
	kind, rest, _ := strings.Cut(s.Name(), " ")
	pos := lines.take(s.Name(), "")
	sec := Section{Kind: kind, Name: strings.TrimSpace(rest), Pos: pos}
	for _, k := range s.Keys() {
		pos := lines.take(s.Name(), k.Name())
		if pos.Line == 0 {
			pos = fault.Pos{File: file, Line: sec.Pos.Line, Column: 1}
		}
		sec.Keys = append(sec.Keys, Key{Name: k.Name(), Value: k.Value(), Pos: pos})
	}
	return sec
}
