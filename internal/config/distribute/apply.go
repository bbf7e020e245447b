package distribute

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/external/store"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// historyPrefix is the prefix of accepted revisions in the store.
const historyPrefix = "templateHistory/"

// Edit is an accepted revision in the history of a template.
type Edit struct {
	Template string    `json:"template"`
	Revision int64     `json:"revision"`
	At       time.Time `json:"at"`
	By       string    `json:"by"`
	Text     string    `json:"text"`
}

// Editor validates edits of templates and writes them to the store.
type Editor struct {
	objects Objects
	gossip  Gossip
}

// NewEditor returns an editor that writes to the store.
func NewEditor(objects Objects, gossip Gossip) *Editor {
	return &Editor{objects: objects, gossip: gossip}
}

// Apply validates an edit and writes it unless the template has changed since revision base; a base of 0 creates the
// template. The author, by, is recorded in the history.
func (e *Editor) Apply(ctx context.Context, name string, text []byte, base int64, by string) (int64, error) {
	if name == "" {
		return 0, fault.New(fault.BadRequest, "give the template a name", "the template has no name")
	}
	if _, err := template.Parse(name, 0, text); err != nil {
		return 0, err
	}
	revision, err := e.write(ctx, name, text, base)
	if err != nil {
		return 0, err
	}
	e.gossip.Publish(relay.Record{Key: templatePrefix + name, Version: revision, Body: text})
	e.writeHistory(ctx, Edit{Template: name, Revision: revision, At: time.Now().UTC(), By: by, Text: string(text)})
	return revision, nil
}

func (e *Editor) write(ctx context.Context, name string, text []byte, base int64) (int64, error) {
	key := storePrefix + name
	var revision int64
	var err error
	if base == 0 {
		revision, err = e.objects.Create(ctx, key, text)
	} else {
		revision, err = e.objects.Update(ctx, key, text, base)
	}
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, store.ErrAmbiguous):
		return e.readBack(ctx, key, text, base, err)
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return 0, conflictError(name, base)
	default:
		return 0, err
	}
}

// readBack determines whether a write whose response was lost took effect.
func (e *Editor) readBack(ctx context.Context, key string, text []byte, base int64, cause error) (int64, error) {
	o, err := e.objects.Get(ctx, key)
	switch {
	case err == nil && o.Version > base && bytes.Equal(o.Body, text):
		return o.Version, nil
	case err == nil && o.Version > base:
		return 0, conflictError(key, base)
	case err == nil || errors.Is(err, store.ErrNotFound):
		return 0, fault.New(fault.Unavailable, "apply the edit again", "the edit was not stored").WithCause(cause)
	default:
		return 0, fault.New(fault.Unavailable, "read the template before applying the edit again", "the outcome of the edit is unknown: it may have been stored").
			WithCause(cause).WithOutcome(fault.Unknown)
	}
}

func conflictError(name string, base int64) error {
	return fault.New(fault.Conflict, "get the template again, merge the edit into it and apply it with the new revision as base",
		"template %s is no longer at revision %d", name, base)
}

// writeHistory adds an edit to the template's history; a failure is ignored, since the edit itself is stored.
func (e *Editor) writeHistory(ctx context.Context, edit Edit) {
	body, err := json.Marshal(edit)
	if err != nil {
		return
	}
	_, _ = e.objects.Create(ctx, fmt.Sprintf("%s%s/%020d", historyPrefix, edit.Template, edit.Revision), body)
}

// History returns the accepted revisions of a template, oldest first.
func (e *Editor) History(ctx context.Context, name string) ([]Edit, error) {
	page, err := e.objects.ListAll(ctx, historyPrefix+name+"/")
	if err != nil {
		return nil, err
	}
	var out []Edit
	for _, o := range page.Items {
		var edit Edit
		if json.Unmarshal(o.Body, &edit) == nil {
			out = append(out, edit)
		}
	}
	return out, nil
}
