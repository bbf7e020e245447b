package inifile

import (
	"strings"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// place names a key of a section; an empty key is the section's header.
type place struct {
	section string
	key     string
}

// lineIndex holds the source lines of each section header and key, in order.
type lineIndex struct {
	lines map[place][]fault.Pos
	order []place
}

func scan(file, text string) *lineIndex {
	x := &lineIndex{lines: map[place][]fault.Pos{}}
	section := "DEFAULT"
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
			x.add(place{section: section}, pos)
			continue
		}
		if key, _, ok := strings.Cut(trimmed, "="); ok {
			x.add(place{section: section, key: strings.TrimSpace(key)}, pos)
		}
	}
	return x
}

func (x *lineIndex) add(p place, pos fault.Pos) {
	if len(x.lines[p]) == 0 {
		x.order = append(x.order, p)
	}
	x.lines[p] = append(x.lines[p], pos)
}

// take returns the first position of the place.
func (x *lineIndex) take(section, key string) fault.Pos {
	if all := x.lines[place{section: section, key: key}]; len(all) > 0 {
		return all[0]
	}
	return fault.Pos{}
}

// duplicates reports sections and keys that stand more than once.
func (x *lineIndex) duplicates() error {
	var list fault.List
	for _, p := range x.order {
		for _, pos := range x.lines[p][1:] {
			list.Add(pos, "keep one of them", "%s %q stands twice", p.what(), p.text())
		}
	}
	return list.Err()
}

func (p place) what() string {
	if p.key == "" {
		return "section"
	}
	return "key"
}

func (p place) text() string {
	if p.key == "" {
		return p.section
	}
	return p.key
}
