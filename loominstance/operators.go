package loominstance

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"strings"
	"time"

	"swiftloom/gen/catalogue"
	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
)

// catalogueAPI implements the service of package gen/catalogue.
type catalogueAPI struct {
	instance *Instance
}

// authorize refuses callers that do not show the operator key.
func (n *Instance) authorize(authorization *string) error {
	key, ok := strings.CutPrefix(valueOf(authorization), "Bearer ")
	want := []byte(n.settings.Deployment.OperatorKey)
	if !ok || subtle.ConstantTimeCompare([]byte(key), want) != 1 {
		return loomerror.New(loomerror.Unauthorized, "the operator key is required")
	}
	return nil
}

// List returns the entries that this instance works with.
func (a *catalogueAPI) List(_ context.Context, p *catalogue.ListPayload) (any, error) {
	if err := a.instance.authorize(p.Authorization); err != nil {
		return nil, err
	}
	doc := a.instance.keeper.Snapshot().Document()
	kind := loomcatalogue.Kind(valueOf(p.Kind))
	if kind == "" {
		return doc, nil
	}
	var entries []loomcatalogue.Change
	for _, e := range doc.Entries {
		if e.Kind == kind {
			entries = append(entries, e)
		}
	}
	doc.Entries = entries
	return doc, nil
}

// Apply makes an edit. It answers when the platform has taken it.
func (a *catalogueAPI) Apply(ctx context.Context, p *catalogue.ApplyPayload) (*catalogue.ApplyResult, error) {
	n := a.instance
	if err := n.authorize(p.Authorization); err != nil {
		return nil, err
	}
	edit := loomcatalogue.Edit{ID: p.EditID, Operator: p.Operator, BaseRevision: p.BaseRevision}
	for _, c := range p.Changes {
		spec, err := json.Marshal(c.Spec)
		if err != nil {
			return nil, loomerror.Wrap(loomerror.InvalidRequest, err, "the entry %s/%s can't be read", c.Kind, c.Name)
		}
		id := loomcatalogue.ID{Kind: loomcatalogue.Kind(c.Kind), Name: c.Name}
		edit.Changes = append(edit.Changes, loomcatalogue.Change{ID: id, Spec: spec})
	}
	before := n.keeper.Snapshot().Revision()
	revision, err := n.keeper.Apply(ctx, time.Now(), edit)
	if err != nil {
		return nil, err
	}
	n.noteRevision(before, "operator")
	n.log.Info("catalogue edit accepted", "operator", p.Operator, "edit_id", p.EditID, "revision", revision, "changes", len(edit.Changes))
	return &catalogue.ApplyResult{Revision: revision}, nil
}

// History returns the audit trail.
func (a *catalogueAPI) History(ctx context.Context, p *catalogue.HistoryPayload) (any, error) {
	n := a.instance
	if err := n.authorize(p.Authorization); err != nil {
		return nil, err
	}
	after := uint64(0)
	if p.After != nil {
		after = *p.After
	}
	records, err := n.keeper.History(ctx, after)
	if err != nil {
		return nil, err
	}
	if records == nil {
		records = []loomcatalogue.Record{}
	}
	return records, nil
}
