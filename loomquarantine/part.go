// Package loomquarantine decides which parts of prompts end the engines that answer them,
// from the attempts that were in progress when engines ended, and from complete answers.
// Requests with such parts are refused: sent to another engine, they would end it as well.
package loomquarantine

import (
	"slices"
	"strings"
	"time"
)

// Part is a part of the prompts for a model.
type Part struct {
	Model string
	ID    string
}

// clone returns a copy of p that keeps no text alive of which its fields are parts.
func (p Part) clone() Part {
	return Part{Model: strings.Clone(p.Model), ID: strings.Clone(p.ID)}
}

// Exposure is a part of a request that was in progress at an upstream when that ended.
type Exposure struct {
	Part Part
	// Version is that of the weights that the request was sent to.
	Version uint64
	// HasBegun is set if the answer had begun shortly before.
	HasBegun bool
}

// join returns the exposure of a part that two requests hold.
func (e Exposure) join(other Exposure) Exposure {
	e.Version = max(e.Version, other.Version)
	e.HasBegun = e.HasBegun || other.HasBegun
	return e
}

// Change is a piece of evidence or a decision that instances tell each other. It is one of
// End, Sound and Quarantine.
type Change interface {
	change()
}

// End is the end of an upstream's process while requests were in progress there.
type End struct {
	Upstream    string
	Incarnation uint64
	At          time.Time
	// Exposures has at most one entry for each part.
	Exposures []Exposure
}

// Sound reports that an answer to a request with a part was complete.
type Sound struct {
	Part Part
	// Version is that of the weights that made the answer.
	Version uint64
}

// Quarantine is a set of parts that ends engines. A request is refused if its prompt has all
// of the parts: parts that always came together can't be told apart. It is immutable.
type Quarantine struct {
	Model string
	// Parts holds the sorted IDs of the parts. It is never empty.
	Parts []string
	// Version is the newest version of the weights under which engines have ended.
	Version uint64
	// Ends is the number of separate ends that it was decided by.
	Ends int
	// IsCertain is set if an upstream has ended with no other suspicious part in progress.
	IsCertain bool
	// Trials is the number of requests that were sent in spite of it.
	Trials int
	// UsedAt is when it was decided, or when a request was last refused.
	UsedAt time.Time
}

// WithUse returns a copy of q that was used at a time.
func (q Quarantine) WithUse(at time.Time) Quarantine {
	if at.After(q.UsedAt) {
		q.UsedAt = at
	}
	return q
}

// WithTrial returns a copy of q after one more trial, with weights of a version.
func (q Quarantine) WithTrial(version uint64) Quarantine {
	q.Trials++
	q.Version = max(q.Version, version)
	return q
}

// without returns a copy of q without a part.
func (q Quarantine) without(id string) Quarantine {
	q.Parts = slices.DeleteFunc(slices.Clone(q.Parts), func(p string) bool { return p == id })
	return q
}

// key identifies the set of parts.
func (q Quarantine) key() string {
	return q.Model + "\x00" + strings.Join(q.Parts, "\x00")
}

// matches reports whether a prompt with parts has all parts of q.
func (q Quarantine) matches(model string, parts []string) bool {
	if model != q.Model {
		return false
	}
	return !slices.ContainsFunc(q.Parts, func(id string) bool { return !slices.Contains(parts, id) })
}

func (End) change()        {}
func (Sound) change()      {}
func (Quarantine) change() {}
