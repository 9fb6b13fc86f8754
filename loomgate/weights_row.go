package loomgate

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"swiftloom/loompb"
)

// namedKeyPrefix begins the keys of the rows that say when weights were named, so that their
// age is known after all instances have started again. A row is written once for each
// version, by the holder of the rollout lease.
const namedKeyPrefix = "weights/"

// namedRow is the platform's row about the target versions of a model.
type namedRow struct {
	Versions []namedRowVersion `json:"versions"`
	// position is that of the row, or zero if there is none.
	position uint64
}

// namedRowVersion is a version in a namedRow. NamedMs is a time of the platform's clock.
type namedRowVersion struct {
	Version uint64 `json:"version"`
	NamedMs int64  `json:"named_ms"`
}

// has reports whether the row contains a version.
func (r namedRow) has(version uint64) bool {
	return slices.ContainsFunc(r.Versions, func(e namedRowVersion) bool { return e.Version == version })
}

// applyNamedRows applies the rows about target versions in a page of TopicInstances. If full
// is set, the page is a complete snapshot.
func (v *clusterView) applyNamedRows(now time.Time, page Page, full bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if full {
		clear(v.namedRows)
	}
	for _, row := range page.Rows {
		if model, ok := strings.CutPrefix(row.Key, namedKeyPrefix); ok {
			v.applyNamedRow(now, model, row)
		}
	}
}

// applyNamedRow applies the row about a model, which is absent if its version is zero. The
// caller holds mu.
func (v *clusterView) applyNamedRow(now time.Time, model string, row Row) {
	if row.Version == 0 {
		delete(v.namedRows, model)
		return
	}
	if row.Version < v.namedRows[model].position {
		return
	}
	if row.Deleted {
		delete(v.namedRows, model)
		return
	}
	r := namedRow{position: row.Version}
	if err := row.Unmarshal(&r); err != nil {
		v.gate.unreadable.record(now, TopicInstances, row, err)
	}
	v.namedRows[model] = r
	v.applyNamedTimes(now, model)
}

// applyNamedTimes records the times in the row about a model. Which versions were named is in
// the catalogue, once that has been read. The caller holds mu.
func (v *clusterView) applyNamedTimes(now time.Time, model string) {
	clock, ok := v.gate.source.Clock(now)
	if !ok {
		return
	}
	target, isRead := v.targets[model]
	for _, e := range v.namedRows[model].Versions {
		if e.Version == 0 || (isRead && e.Version > target) || !clock.canBePast(now, e.NamedMs, v.gate.settings.OldWeightsTTL) {
			continue
		}
		namedAt := clock.localTime(time.Duration(e.NamedMs) * time.Millisecond)
		v.recordNamed(now, model, namedVersion{version: e.Version, namedAt: namedAt}, "platform")
	}
}

// namedWrite returns the transaction that adds the target versions of a model to its row. It
// returns nil if the row has them or the platform's time is not known. A version that the
// row has is not changed.
func (v *clusterView) namedWrite(now time.Time, model string) (*loompb.TransactRequest, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.namedRows[model]
	clock, ok := v.gate.source.Clock(now)
	if !ok || !slices.ContainsFunc(v.named[model], func(n namedVersion) bool { return !old.has(n.version) }) {
		return nil, nil
	}
	var row namedRow
	for _, n := range v.named[model] {
		e := namedRowVersion{Version: n.version, NamedMs: clock.platformTime(n.namedAt).Milliseconds()}
		if i := slices.IndexFunc(old.Versions, func(e namedRowVersion) bool { return e.Version == n.version }); i >= 0 {
			e = old.Versions[i]
		}
		row.Versions = append(row.Versions, e)
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, errors.Annotatef(err, "encode target versions of model %q", model)
	}
	key := namedKeyPrefix + model
	return &loompb.TransactRequest{
		Conditions: []*loompb.Condition{{Key: key, Version: old.position}},
		Writes:     []*loompb.Write{{Key: key, Value: value}},
	}, nil
}

// namedWriteInterval is the least time between two attempts to write when weights were named.
const namedWriteInterval = time.Second

// writeNamed writes when the target versions of pending updates were named, if the platform
// doesn't have that yet.
func (r *rollout) writeNamed(ctx context.Context, now time.Time, updates []pendingUpdate) {
	if now.Sub(r.namedWrittenAt) < namedWriteInterval {
		return
	}
	for _, update := range updates {
		request, err := r.gate.view.namedWrite(time.Now(), update.model)
		if err != nil {
			r.gate.log.Error("weights_row_unwritten", "model", update.model, "cause", err.Error())
			continue
		}
		if request == nil {
			continue
		}
		r.namedWrittenAt = now
		call, cancel := context.WithTimeout(ctx, renewTimeout)
		reply, err := r.gate.source.Transact(call, request)
		cancel()
		if err != nil {
			r.gate.log.Warn("weights_row_unwritten", "model", update.model, "cause", err.Error())
			continue
		}
		r.gate.view.applyNamedReply(time.Now(), update.model, request, reply)
	}
}

// applyNamedReply applies the row that a transaction has written, or that another instance
// has written before.
func (v *clusterView) applyNamedReply(now time.Time, model string, request *loompb.TransactRequest, reply *loompb.TransactReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if reply.GetApplied() {
		v.applyNamedRow(now, model, Row{Value: request.GetWrites()[0].GetValue(), Version: reply.GetVersion()})
		return
	}
	for _, row := range reply.GetRows() {
		v.applyNamedRow(now, model, Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion()})
	}
}
