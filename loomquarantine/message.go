package loomquarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"time"

	"swiftloom/loompb"
)

// Encode converts a change to its message.
func Encode(now time.Time, c Change) *loompb.EvidenceChange {
	switch c := c.(type) {
	case End:
		end := &loompb.UpstreamEnd{UpstreamId: c.Upstream, Incarnation: c.Incarnation, AgeMs: ageMillis(now, c.At)}
		for _, x := range c.Exposures {
			end.Exposures = append(end.Exposures, &loompb.ExposedPart{
				Model: x.Suspect.Model, Part: x.Suspect.ID, IsRequest: x.Suspect.Kind == Request,
				Version: x.Version, HasBegun: x.HasBegun, SentMs: uint32(x.Sent.Milliseconds()), Parts: x.Parts,
			})
		}
		return &loompb.EvidenceChange{Change: &loompb.EvidenceChange_End{End: end}}
	case Sound:
		sound := &loompb.SoundPart{Model: c.Suspect.Model, Part: c.Suspect.ID, IsRequest: c.Suspect.Kind == Request, Version: c.Version}
		return &loompb.EvidenceChange{Change: &loompb.EvidenceChange_Sound{Sound: sound}}
	case Quarantine:
		q := &loompb.QuarantinedParts{
			Model: c.Model(), Parts: c.Parts(), Request: c.Request(), Version: c.Version, Ends: uint32(c.Ends), Trials: uint32(c.Trials),
			IdleMs: ageMillis(now, c.UsedAt), IsCertain: c.IsCertain,
		}
		return &loompb.EvidenceChange{Change: &loompb.EvidenceChange_Quarantine{Quarantine: q}}
	default:
		return &loompb.EvidenceChange{}
	}
}

// Decode converts a message to a change. It returns false for a kind of change that
// this version doesn't know.
func Decode(now time.Time, m *loompb.EvidenceChange) (Change, bool) {
	switch c := m.GetChange().(type) {
	case *loompb.EvidenceChange_End:
		end := End{Upstream: c.End.GetUpstreamId(), Incarnation: c.End.GetIncarnation(), At: now.Add(-milliseconds(c.End.GetAgeMs()))}
		for _, x := range c.End.GetExposures() {
			end.Exposures = append(end.Exposures, Exposure{
				Suspect: newSuspect(x.GetModel(), x.GetPart(), x.GetIsRequest()), Version: x.GetVersion(), HasBegun: x.GetHasBegun(),
				Sent: milliseconds(x.GetSentMs()), Parts: boundedTexts(x.GetParts()),
			})
		}
		return end, true
	case *loompb.EvidenceChange_Sound:
		suspect := newSuspect(c.Sound.GetModel(), c.Sound.GetPart(), c.Sound.GetIsRequest())
		return Sound{Suspect: suspect, Version: c.Sound.GetVersion()}, true
	case *loompb.EvidenceChange_Quarantine:
		q := c.Quarantine
		return Quarantine{
			Version: q.GetVersion(), Ends: int(q.GetEnds()), Trials: int(q.GetTrials()),
			UsedAt: now.Add(-milliseconds(q.GetIdleMs())), IsCertain: q.GetIsCertain(),
		}.WithSuspects(NewSuspects(q.GetModel(), q.GetParts(), q.GetRequest())...), true
	default:
		return nil, false
	}
}

// maxTextBytes bounds the texts of a suspect, which callers choose.
const maxTextBytes = 64

// boundedText returns a text, or a digest of it if it is longer than maxTextBytes. Callers can't
// make one with the digest of another.
func boundedText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	digest := sha256.Sum256([]byte(text))
	return "sha256/" + hex.EncodeToString(digest[:16])
}

func boundedTexts(texts []string) []string {
	bounded := make([]string, 0, len(texts))
	for _, text := range texts {
		bounded = append(bounded, boundedText(text))
	}
	return bounded
}

// newSuspect returns a part of prompts or a request.
func newSuspect(model, id string, isRequest bool) Suspect {
	s := Suspect{Kind: Part, Model: boundedText(model), ID: boundedText(id)}
	if isRequest {
		s.Kind = Request
	}
	return s
}

// NewSuspects returns the suspects of a request for a model: the parts of its prompt, and
// its digest unless that is empty.
func NewSuspects(model string, partIDs []string, digest string) []Suspect {
	suspects := make([]Suspect, 0, len(partIDs)+1)
	for _, id := range partIDs {
		suspects = append(suspects, newSuspect(model, id, false))
	}
	if digest != "" {
		suspects = append(suspects, newSuspect(model, digest, true))
	}
	return suspects
}

// milliseconds returns a time that a message holds in milliseconds.
func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// ageMillis returns the time from at to now in milliseconds, as messages hold it.
func ageMillis(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}
