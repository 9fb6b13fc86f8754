// Package loommember decides which instances and upstreams are alive. It combines
// the platform's list, which lags, with the results of direct calls, rumours from
// peers and leaving marks.
package loommember

import "time"

// Member is one incarnation of an Instance or an Upstream.
type Member struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	Group         string `json:"group"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	Address       string `json:"address"`
	// Incarnation increases when the member restarts under the same ID.
	Incarnation uint64 `json:"incarnation"`
}

// The kinds of members.
const (
	KindInstance = "instance"
	KindEngine   = "engine"
	KindStore    = "store"
	KindService  = "service"
)

// Status is the state of a member.
type Status int

// The states of a member.
const (
	// Live members receive requests.
	Live Status = iota
	// Suspect members have not answered recently. They receive requests only
	// when no live member is available.
	Suspect
	// Leaving members receive no new requests. An incarnation that is leaving
	// never becomes live again.
	Leaving
	// Dead members are not part of a View.
	Dead
)

// String returns the state in lower case.
func (s Status) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Event is a piece of evidence about members. It is one of Listed, Changed, Alive,
// Unanswered, Rumour and MarkedLeaving.
type Event interface {
	event()
}

// Listed is the complete list of the platform. Members that it does not name are
// no longer listed.
type Listed struct {
	Members []Listing
}

// Changed is a change of the platform's list.
type Changed struct {
	// Members holds the entries that were added or changed.
	Members []Listing
	// Gone holds the IDs of the removed entries.
	Gone []string
}

// Listing is one entry of the platform's list.
type Listing struct {
	Member  Member
	Leaving bool
}

// Alive reports a message or an answer that came from the member itself.
type Alive struct {
	ID          string
	Incarnation uint64
}

// Unanswered reports a call to a member that got no answer.
type Unanswered struct {
	ID string
}

// Rumour is second-hand evidence about a member, received from a peer.
type Rumour struct {
	ID          string
	Incarnation uint64
	// Unanswered reports that the member has not answered calls since At;
	// otherwise the member was alive at At.
	Unanswered bool
	At         time.Time
}

// MarkedLeaving reports that a member is leaving in an incarnation. The evidence
// is the member's report, its refusal of a request, or a message of a peer.
type MarkedLeaving struct {
	ID          string
	Incarnation uint64
}

func (Listed) event()        {}
func (Changed) event()       {}
func (Rumour) event()        {}
func (Alive) event()         {}
func (Unanswered) event()    {}
func (MarkedLeaving) event() {}
