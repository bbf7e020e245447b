package template

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/core/inifile"
)

// Template is a valid template with the policy of each client account.
type Template struct {
	Name     string
	Revision int64
	Text     []byte
	// Accounts holds the policy of each account by name.
	Accounts map[string]*Policy
	// accountsByKeyHash maps the SHA-256 of a caller's key, in hex, to the account's name.
	accountsByKeyHash map[string]string
}

// HashKey returns the hash of a caller's key as keySha256 holds it: its SHA-256 in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Parse parses a template; each fault is reported with its position.
func Parse(name string, revision int64, text []byte) (*Template, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	t := &Template{Name: name, Revision: revision, Text: text, Accounts: map[string]*Policy{}, accountsByKeyHash: map[string]string{}}
	defaults := defaultParameters(f)
	accounts := sectionsOfKind(f, "account")
	if len(accounts) == 0 {
		return nil, t.missingAccountError(f, defaults)
	}
	for _, acc := range accounts {
		if err := t.addAccount(f, acc, defaults); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// missingAccountError returns an error that lists the missing account and all other faults.
func (t *Template) missingAccountError(f *inifile.File, defaults map[string]string) error {
	d := inifile.NewDecoder(f, defaults)
	d.Faults.Add(fault.Pos{File: f.Name, Line: 1, Column: 1}, "add [account NAME] with keySha256", "template has no account")
	decodePolicy(d)
	return d.Finish()
}

func (t *Template) addAccount(f *inifile.File, acc inifile.Section, defaults map[string]string) error {
	vars := maps.Clone(defaults)
	for _, k := range acc.Keys {
		if k.Name == callerKeysField {
			continue
		}
		if _, known := defaults[k.Name]; known {
			vars[k.Name] = k.Value
		}
	}
	d := inifile.NewDecoder(f, vars)
	p := decodePolicy(d)
	t.addCallerKeys(d, acc)
	markAccountKeysKnown(d, defaults)
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

const callerKeysField = "keySha256"

// markAccountKeysKnown marks the keys of [account NAME] and [parameters] as known, so that they are not reported.
func markAccountKeysKnown(d *inifile.Decoder, defaults map[string]string) {
	for _, s := range d.Sections("account") {
		d.List(s, callerKeysField)
		for name := range defaults {
			d.String(s, name, "")
		}
	}
	s := d.SingleSection("parameters")
	for _, k := range s.Keys {
		d.String(s, k.Name, "")
	}
}

const sha256HexDigits = 64

func (t *Template) addCallerKeys(d *inifile.Decoder, acc inifile.Section) {
	keys := d.List(&acc, callerKeysField)
	if len(keys) == 0 {
		d.Faults.Add(acc.Pos, "set keySha256 to the SHA-256 of the caller's key in hex", "account %q has no key", acc.Name)
	}
	for _, k := range keys {
		if _, err := hex.DecodeString(k); err != nil || len(k) != sha256HexDigits {
			d.Faults.Add(acc.Pos, "set keySha256 to 64 hex digits, the SHA-256 of the caller's key", "account %q has a key that is not a SHA-256", acc.Name)
		}
		if other, ok := t.accountsByKeyHash[k]; ok && other != acc.Name {
			d.Faults.Add(acc.Pos, "give each account its own key", "accounts %q and %q share a key", acc.Name, other)
		}
		t.accountsByKeyHash[k] = acc.Name
	}
}

// ForKey returns the policy of the account that a caller's key belongs to.
func (t *Template) ForKey(keyHash string) (*Policy, bool) {
	p, ok := t.Accounts[t.accountsByKeyHash[keyHash]]
	return p, ok
}

// KeyHashes returns the hashes of all callers' keys, sorted.
func (t *Template) KeyHashes() []string {
	return slices.Sorted(maps.Keys(t.accountsByKeyHash))
}

func defaultParameters(f *inifile.File) map[string]string {
	vars := map[string]string{}
	for _, s := range sectionsOfKind(f, "parameters") {
		for _, k := range s.Keys {
			vars[k.Name] = k.Value
		}
	}
	return vars
}

func sectionsOfKind(f *inifile.File, kind string) []inifile.Section {
	var out []inifile.Section
	for _, s := range f.Sections {
		if s.Kind == kind {
			out = append(out, s)
		}
	}
	return out
}
