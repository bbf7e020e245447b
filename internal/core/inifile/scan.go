package inifile

import (
	"strings"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// element names a section header, with an empty key, or a key of a section.
type element struct {
	section string
	key     string
}

// lineIndex holds the positions of each section header and key in source order.
type lineIndex struct {
	positions map[element][]fault.Pos
	order     []element
}

func indexLines(file, text string) *lineIndex {
	x := &lineIndex{positions: map[element][]fault.Pos{}}
	section := "DEFAULT" // ini.DefaultSection, for keys before the first header
	for i, line := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(line)
		if trimmed == "" || trimmed[0] == ';' || trimmed[0] == '#' {
			continue
		}
		pos := fault.Pos{File: file, Line: i + 1, Column: strings.Index(line, trimmed) + 1}
		if trimmed[0] == '[' {
			end := strings.LastIndexByte(trimmed, ']')
			if end < 0 {
				continue
			}
			section = strings.TrimSpace(trimmed[1:end])
			x.add(element{section: section}, pos)
			continue
		}
		if key, _, ok := strings.Cut(trimmed, "="); ok {
			x.add(element{section: section, key: strings.TrimSpace(key)}, pos)
		}
	}
	return x
}

func (x *lineIndex) add(e element, pos fault.Pos) {
	if len(x.positions[e]) == 0 {
		x.order = append(x.order, e)
	}
	x.positions[e] = append(x.positions[e], pos)
}

// first returns the first position of an element, or the zero position if there is none.
func (x *lineIndex) first(section, key string) fault.Pos {
	if all := x.positions[element{section: section, key: key}]; len(all) > 0 {
		return all[0]
	}
	return fault.Pos{}
}

// duplicates reports sections and keys that are defined more than once.
func (x *lineIndex) duplicates() error {
	var list fault.List
	for _, e := range x.order {
		for _, pos := range x.positions[e][1:] {
			list.Add(pos, "keep one of them", "%s %q is defined more than once", e.kind(), e.name())
		}
	}
	return list.Err()
}

func (e element) kind() string {
	if e.key == "" {
		return "section"
	}
	return "key"
}

func (e element) name() string {
	if e.key == "" {
		return e.section
	}
	return e.key
}
