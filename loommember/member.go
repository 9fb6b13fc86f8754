// Package loommember decides which instances and upstreams live, from the
// platform's lagging list, direct evidence and leaving marks.
package loommember

import "time"

// Member is one instance or upstream in one incarnation.
type Member struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	Group         string `json:"group"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	Address       string `json:"address"`
	Incarnation   uint64 `json:"incarnation"`
}

// The kinds of members.
const (
	KindInstance = "instance"
	KindEngine   = "engine"
	KindStore    = "store"
	KindService  = "service"
)

// Status tells what a view believes of a member.
type Status int

// The states of a member.
const (
	// Live members get work.
	Live Status = iota
	// Suspect members have not answered lately; they get work only when
	// nothing better is left.
	Suspect
	// Leaving members get no new work; the mark sticks to the incarnation.
	Leaving
	// Dead members are out of the view.
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

// Event is something that an instance has learnt about members. It is one of
// Listed, Changed, Heard, Unanswered, Rumour and Marked.
type Event interface {
	event()
}

// Listed is the platform's list as a whole.
type Listed struct {
	Members []Listing
}

// Changed is what is new in the platform's list.
type Changed struct {
	Members []Listing
	Gone    []string
}

// Listing is one line of the platform's list.
type Listing struct {
	Member  Member
	Leaving bool
}

// Heard is an answer that came from a member itself.
type Heard struct {
	ID          string
	Incarnation uint64
}

// Unanswered is a call to a member that got no answer.
type Unanswered struct {
	ID string
}

// Rumour is second-hand evidence: at some time a member was heard, or had left
// calls unanswered since then.
type Rumour struct {
	ID          string
	Incarnation uint64
	Unanswered  bool
	At          time.Time
}

// Marked says that a member leaves in some incarnation; a report, a refusal or
// a peer told so.
type Marked struct {
	ID          string
	Incarnation uint64
}

func (Listed) event()     {}
func (Changed) event()    {}
func (Rumour) event()     {}
func (Heard) event()      {}
func (Unanswered) event() {}
func (Marked) event()     {}
