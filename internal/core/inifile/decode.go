package inifile

import (
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Decoder reads typed values from a file and collects every fault.
//
// Its methods report an invalid value as a fault and return def, the default, in its place.
type Decoder struct {
	Faults fault.List
	file   *File
	// used holds the positions of the sections and keys that were read.
	used map[fault.Pos]bool
	vars map[string]string
}

// NewDecoder returns a decoder of f, which replaces "${name}" in values by vars["name"].
func NewDecoder(f *File, vars map[string]string) *Decoder {
	return &Decoder{file: f, used: map[fault.Pos]bool{}, vars: vars}
}

// Sections returns the sections of a kind, in file order.
func (d *Decoder) Sections(kind string) []*Section {
	var out []*Section
	for i := range d.file.Sections {
		s := &d.file.Sections[i]
		if s.Kind == kind {
			d.used[s.Pos] = true
			out = append(out, s)
		}
	}
	return out
}

// SingleSection returns the first section of a kind, or an empty one if there is none; a section with a name is a fault.
func (d *Decoder) SingleSection(kind string) *Section {
	all := d.Sections(kind)
	if len(all) == 0 {
		return &Section{Kind: kind, Pos: fault.Pos{File: d.file.Name, Line: 1, Column: 1}}
	}
	if all[0].Name != "" {
		d.Faults.Add(all[0].Pos, "write ["+kind+"]", "section [%s] takes no name", kind)
	}
	return all[0]
}

// lookup returns the value of a key with its variables replaced, and the position of the key or else of its section.
func (d *Decoder) lookup(s *Section, name string) (string, fault.Pos, bool) {
	i := slices.IndexFunc(s.Keys, func(k Key) bool { return k.Name == name })
	if i < 0 {
		return "", s.Pos, false
	}
	k := s.Keys[i]
	d.used[k.Pos] = true
	return d.expand(k), k.Pos, true
}

func (d *Decoder) expand(k Key) string {
	if !strings.Contains(k.Value, "${") {
		return k.Value
	}
	return os.Expand(k.Value, func(name string) string {
		v, ok := d.vars[name]
		if !ok {
			d.Faults.Add(k.Pos, "add it to [parameters]", "parameter %q has no value", name)
		}
		return v
	})
}

// String returns the value of a key, or def if the key is absent.
func (d *Decoder) String(s *Section, name, def string) string {
	v, _, ok := d.lookup(s, name)
	if !ok {
		return def
	}
	return v
}

// Required returns the value of a key and reports a missing or empty one.
func (d *Decoder) Required(s *Section, name string) string {
	v, pos, _ := d.lookup(s, name)
	if v == "" {
		d.Faults.Add(pos, "set "+name+" = VALUE", "[%s] has no value for the required key %q", s.Kind, name)
	}
	return v
}

// List returns the non-empty comma-separated items of a value.
func (d *Decoder) List(s *Section, name string) []string {
	var out []string
	for item := range strings.SplitSeq(d.String(s, name, ""), ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// Enum returns a value that is one of the allowed words, or def if the key is absent.
func (d *Decoder) Enum(s *Section, name, def string, allowed ...string) string {
	v, pos, ok := d.lookup(s, name)
	if !ok {
		return def
	}
	if !slices.Contains(allowed, v) {
		d.Faults.Add(pos, "use one of "+strings.Join(allowed, ", "), "%s = %q is not a valid value", name, v)
		return def
	}
	return v
}

// Bool returns a boolean value, or def if the key is absent.
func (d *Decoder) Bool(s *Section, name string, def bool) bool {
	v, pos, ok := d.lookup(s, name)
	if !ok {
		return def
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		d.Faults.Add(pos, "write true or false", "%s = %q is not a boolean", name, v)
		return def
	}
	return b
}

// Int returns an integer within [low, high], or def if the key is absent.
func (d *Decoder) Int(s *Section, name string, def, low, high int) int {
	v, pos, ok := d.lookup(s, name)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		d.Faults.Add(pos, "use an integer from "+strconv.Itoa(low)+" to "+strconv.Itoa(high), "%s = %q is out of range", name, v)
		return def
	}
	return n
}

// Float returns a number within [low, high], or def if the key is absent.
func (d *Decoder) Float(s *Section, name string, def, low, high float64) float64 {
	v, pos, ok := d.lookup(s, name)
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= low && x <= high) {
		d.Faults.Add(pos, "use a number from "+formatFloat(low)+" to "+formatFloat(high), "%s = %q is out of range", name, v)
		return def
	}
	return x
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// Duration returns a duration within [low, high], or def if the key is absent.
func (d *Decoder) Duration(s *Section, name string, def, low, high time.Duration) time.Duration {
	v, pos, ok := d.lookup(s, name)
	if !ok {
		return def
	}
	t, err := time.ParseDuration(v)
	if err != nil || t < low || t > high {
		d.Faults.Add(pos, "use a duration from "+low.String()+" to "+high.String()+", such as 500ms", "%s = %q is out of range", name, v)
		return def
	}
	return t
}

// Address returns a host:port value whose host is an IP address, or def if the key is absent.
func (d *Decoder) Address(s *Section, name, def string) string {
	v, pos, ok := d.lookup(s, name)
	if !ok {
		return def
	}
	host, _, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		d.Faults.Add(pos, "write it in the form 10.0.0.4:8080", "%s = %q is not an IP address with a port", name, v)
		return def
	}
	return v
}

// Finish reports the sections and keys that were never read as unknown, and returns all faults.
func (d *Decoder) Finish() error {
	for i := range d.file.Sections {
		s := &d.file.Sections[i]
		if !d.used[s.Pos] {
			d.Faults.Add(s.Pos, "remove it or correct its name", "section [%s] is unknown", strings.TrimSpace(s.Kind+" "+s.Name))
			continue
		}
		d.reportUnknownKeys(s)
	}
	return d.Faults.Err()
}

func (d *Decoder) reportUnknownKeys(s *Section) {
	for _, k := range s.Keys {
		if !d.used[k.Pos] {
			d.Faults.Add(k.Pos, "remove it or correct its name", "key %q is unknown in [%s]", k.Name, s.Kind)
		}
	}
}
