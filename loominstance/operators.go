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

// catalogueAPI implements the generated service interface of package
// gen/catalogue.
type catalogueAPI struct {
	instance *Instance
}

// authorizeOperator rejects requests without the operator key.
func (n *Instance) authorizeOperator(authorization *string) error {
	key, ok := strings.CutPrefix(deref(authorization), "Bearer ")
	want := []byte(n.settings.Deployment.OperatorKey)
	if !ok || subtle.ConstantTimeCompare([]byte(key), want) != 1 {
		return loomerror.New(loomerror.Unauthorized, "the operator key is required")
	}
	return nil
}

// List returns the catalogue entries that this instance works with, optionally
// of one kind.
func (a *catalogueAPI) List(_ context.Context, p *catalogue.ListPayload) (any, error) {
	if err := a.instance.authorizeOperator(p.Authorization); err != nil {
		return nil, err
	}
	doc := a.instance.catalogue.Snapshot().Document()
	kind := loomcatalogue.Kind(deref(p.Kind))
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

// Apply applies an edit to the catalogue. It returns after the platform has
// accepted the edit.
func (a *catalogueAPI) Apply(ctx context.Context, p *catalogue.ApplyPayload) (*catalogue.ApplyResult, error) {
	n := a.instance
	if err := n.authorizeOperator(p.Authorization); err != nil {
		return nil, err
	}
	edit := loomcatalogue.Edit{ID: p.EditID, Operator: p.Operator, BaseRevision: p.BaseRevision}
	for _, c := range p.Changes {
		spec, err := json.Marshal(c.Spec)
		if err != nil {
			return nil, loomerror.Wrap(loomerror.InvalidRequest, err, "the entry %s/%s can't be encoded", c.Kind, c.Name)
		}
		id := loomcatalogue.ID{Kind: loomcatalogue.Kind(c.Kind), Name: c.Name}
		edit.Changes = append(edit.Changes, loomcatalogue.Change{ID: id, Spec: spec})
	}
	before := n.catalogue.Snapshot().Revision()
	revision, err := n.catalogue.ApplyEdit(ctx, time.Now(), edit)
	if err != nil {
		return nil, err
	}
	n.recordRevision(before, "operator")
	n.log.Info("catalogue edit accepted", "operator", p.Operator, "edit_id", p.EditID, "revision", revision, "changes", len(edit.Changes))
	return &catalogue.ApplyResult{Revision: revision}, nil
}

// History returns the records of the audit trail after a revision.
func (a *catalogueAPI) History(ctx context.Context, p *catalogue.HistoryPayload) (any, error) {
	n := a.instance
	if err := n.authorizeOperator(p.Authorization); err != nil {
		return nil, err
	}
	after := uint64(0)
	if p.After != nil {
		after = *p.After
	}
	records, err := n.catalogue.History(ctx, after)
	if err != nil {
		return nil, err
	}
	if records == nil {
		records = []loomcatalogue.Record{}
	}
	return records, nil
}
