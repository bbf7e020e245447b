package template

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/core/inifile"
)

// Template is a checked template with the policy of each client account.
type Template struct {
	Name     string
	Revision int64
	Text     []byte
	// Accounts holds the policy of each account by name.
	Accounts map[string]*Policy
	// keys maps the SHA-256 of a caller's key, in hex, to the account's name.
	keys map[string]string
}

// HashKey returns the form in which a template holds a caller's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Parse checks a template text whole; every fault is reported with its position.
func Parse(name string, revision int64, text []byte) (*Template, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	t := &Template{Name: name, Revision: revision, Text: text, Accounts: map[string]*Policy{}, keys: map[string]string{}}
	defaults := parameters(f)
	accounts := sections(f, "account")
	if len(accounts) == 0 {
		return nil, t.checkWithoutAccounts(f, defaults)
	}
	for _, acc := range accounts {
		if err := t.addAccount(f, acc, defaults); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// checkWithoutAccounts reports the missing account together with the other faults.
func (t *Template) checkWithoutAccounts(f *inifile.File, defaults map[string]string) error {
	d := inifile.NewDecoder(f, defaults)
	d.Faults.Add(fault.Pos{File: f.Name, Line: 1, Column: 1}, "add [account NAME] with keySha256", "template has no account")
	decodePolicy(d)
	return d.Finish()
}

func (t *Template) addAccount(f *inifile.File, acc inifile.Section, defaults map[string]string) error {
	vars := maps.Clone(defaults)
	for _, k := range acc.Keys {
		if k.Name == accountKeys {
			continue
		}
		if _, known := defaults[k.Name]; known {
			vars[k.Name] = k.Value
		}
	}
	d := inifile.NewDecoder(f, vars)
	p := decodePolicy(d)
	t.claimKeys(d, acc)
	useAccountSections(d, defaults)
	if acc.Name == "" {
		d.Faults.Add(acc.Pos, "write [account NAME]", "account has no name")
	}
	if err := d.Finish(); err != nil {
		return err
	}
	p.Template, p.Account, p.Revision = t.Name, acc.Name, t.Revision
	t.Accounts[acc.Name] = p
	return nil
}

const accountKeys = "keySha256"

// useAccountSections marks the parameters that accounts may set as known.
func useAccountSections(d *inifile.Decoder, defaults map[string]string) {
	for _, s := range d.Sections("account") {
		d.List(s, accountKeys)
		for name := range defaults {
			d.String(s, name, "")
		}
	}
	s := d.SingleSection("parameters")
	for _, k := range s.Keys {
		d.String(s, k.Name, "")
	}
}

const sha256HexBytes = 64

func (t *Template) claimKeys(d *inifile.Decoder, acc inifile.Section) {
	keys := d.List(&acc, accountKeys)
	if len(keys) == 0 {
		d.Faults.Add(acc.Pos, "set keySha256 to the SHA-256 of the caller's key in hex", "account %q has no key", acc.Name)
	}
	for _, k := range keys {
		if _, err := hex.DecodeString(k); err != nil || len(k) != sha256HexBytes {
			d.Faults.Add(acc.Pos, "give 64 hex digits", "account %q has a key that is not a SHA-256", acc.Name)
		}
		if other, ok := t.keys[k]; ok && other != acc.Name {
			d.Faults.Add(acc.Pos, "give each account its own key", "accounts %q and %q share a key", acc.Name, other)
		}
		t.keys[k] = acc.Name
	}
}

// ForKey returns the policy of the account that holds a caller's key.
func (t *Template) ForKey(keyHash string) (*Policy, bool) {
	p, ok := t.Accounts[t.keys[keyHash]]
	return p, ok
}

// KeyHashes returns the hashes of all callers' keys, sorted.
func (t *Template) KeyHashes() []string {
	return slices.Sorted(maps.Keys(t.keys))
}

func parameters(f *inifile.File) map[string]string {
	vars := map[string]string{}
	for _, s := range sections(f, "parameters") {
		for _, k := range s.Keys {
			vars[k.Name] = k.Value
		}
	}
	return vars
}

func sections(f *inifile.File, kind string) []inifile.Section {
	var out []inifile.Section
	for _, s := range f.Sections {
		if s.Kind == kind {
			out = append(out, s)
		}
	}
	return out
}
