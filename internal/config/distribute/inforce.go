package distribute

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// templatePrefix is the prefix of templates in the fleet's gossip table.
const templatePrefix = "template/"

// snapshot is an immutable configuration.
type snapshot struct {
	templates         map[string]*template.Template
	policiesByKeyHash map[string][]*template.Policy
	// refused maps a template to its newest revision if that one is invalid.
	refused map[string]int64
}

// InForce holds the configuration in force on this daemon.
type InForce struct {
	log     *event.Log
	current atomic.Pointer[snapshot]

	mu sync.Mutex
	// byLastChange holds the names of the templates in force, the most recently changed last.
	byLastChange []string
	onChange     []func()
}

// NewInForce returns an empty configuration that is updated from the fleet table t.
func NewInForce(t *relay.Table, log *event.Log) *InForce {
	f := &InForce{log: log}
	f.current.Store(&snapshot{templates: map[string]*template.Template{}, policiesByKeyHash: map[string][]*template.Policy{}, refused: map[string]int64{}})
	t.Subscribe(templatePrefix, f.apply)
	return f
}

// OnChange calls fn after each change of the configuration in force.
func (f *InForce) OnChange(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onChange = append(f.onChange, fn)
}

// apply puts a revision in force if it is valid and newer than the one in force.
func (f *InForce) apply(r relay.Record) {
	name := strings.TrimPrefix(r.Key, templatePrefix)
	t, err := template.Parse(name, r.Version, r.Body)
	f.mu.Lock()
	old := f.current.Load()
	if have, ok := old.templates[name]; ok && have.Revision >= r.Version {
		f.mu.Unlock()
		return
	}
	next := old.with(name, r.Version, t)
	f.current.Store(next)
	if err == nil {
		f.byLastChange = append(slices.DeleteFunc(f.byLastChange, func(n string) bool { return n == name }), name)
	}
	onChange := f.onChange
	f.mu.Unlock()
	if err != nil {
		f.log.Emit(event.ConfigRefused, "template", name, "revision", r.Version, "error", err.Error())
		return
	}
	f.log.Emit(event.ConfigInForce, "template", name, "revision", r.Version)
	for _, fn := range onChange {
		fn()
	}
}

// with returns a copy with one template replaced, or with its revision marked as refused if t is nil.
func (s *snapshot) with(name string, revision int64, t *template.Template) *snapshot {
	next := &snapshot{templates: map[string]*template.Template{}, policiesByKeyHash: map[string][]*template.Policy{}, refused: map[string]int64{}}
	for n, old := range s.templates {
		next.templates[n] = old
	}
	for n, rev := range s.refused {
		next.refused[n] = rev
	}
	if t == nil {
		next.refused[name] = revision
	} else {
		delete(next.refused, name)
		next.templates[name] = t
	}
	for _, n := range next.names() {
		tpl := next.templates[n]
		for _, k := range tpl.KeyHashes() {
			p, _ := tpl.ForKey(k)
			next.policiesByKeyHash[k] = append(next.policiesByKeyHash[k], p)
		}
	}
	return next
}

func (s *snapshot) names() []string {
	var out []string
	for n := range s.templates {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Policies returns the policies of the accounts with a caller's key, ordered by template name.
func (f *InForce) Policies(keyHash string) []*template.Policy {
	return f.current.Load().policiesByKeyHash[keyHash]
}

// Policy returns an account's policy in the revision of a template that is in force.
func (f *InForce) Policy(name, account string) (*template.Policy, bool) {
	t, ok := f.current.Load().templates[name]
	if !ok {
		return nil, false
	}
	p, ok := t.Accounts[account]
	return p, ok
}

// Templates returns the templates in force, ordered by name.
func (f *InForce) Templates() []*template.Template {
	s := f.current.Load()
	var out []*template.Template
	for _, n := range s.names() {
		out = append(out, s.templates[n])
	}
	return out
}

// Revision returns the revision of a template that is in force, or 0 if there is none.
func (f *InForce) Revision(name string) int64 {
	if t, ok := f.current.Load().templates[name]; ok {
		return t.Revision
	}
	return 0
}

// latestChanged returns the names of at most n templates, the most recently changed first.
func (f *InForce) latestChanged(n int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := slices.Clone(f.byLastChange)
	slices.Reverse(out)
	return out[:min(n, len(out))]
}

// Dump shows the revision of each template in force, and the refused newer revisions.
func (f *InForce) Dump() any {
	s := f.current.Load()
	revisions := map[string]int64{}
	for n, t := range s.templates {
		revisions[n] = t.Revision
	}
	return struct {
		InForce map[string]int64 `json:"inForce"`
		Refused map[string]int64 `json:"refused"`
	}{revisions, s.refused}
}
