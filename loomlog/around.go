package loomlog

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// aroundTime is how long before the end of a request the state of the site
// belongs to its cause. New weights take an engine out for three to five seconds.
const aroundTime = 5 * time.Second

// circumstance is something that many requests can suffer from, told by the
// lines of one event.
type circumstance struct {
	event string
	// one and many name it; many has a %d for the number.
	one  string
	many string
	// key is the field whose distinct values are counted, or empty to count
	// instances.
	key string
}

// circumstances are in the order in which they explain a failure.
var circumstances = []circumstance{
	{"start", "an instance was started", "%d instances were started", ""},
	{"weights_named", "new weights were named", "%d versions of weights were named", "version"},
	{"order_sent", "an engine was ordered to load weights", "%d engines were ordered to load weights", "upstream"},
	{"upstream_removed", "an upstream was removed from the list", "%d upstreams were removed from the list", "upstream"},
	{"upstream_leaving", "an upstream was seen to leave", "%d upstreams were seen to leave", "upstream"},
	{"store_restarted", "a store for kept state was started again", "%d stores for kept state were started again", "address"},
	{"catalogue_changed", "a new revision came into force", "%d revisions came into force", "revision"},
}

// leastSilence is the shortest time without a line that tells of a process that
// did not run: one that serves writes many lines a second.
const leastSilence = 1500 * time.Millisecond

// Around returns what happened to the site in the seconds before the last line
// of a request, at any instance, in words.
func Around(lines []Line, last Line) []string {
	before := until(lines, last.Time)
	var told []string
	if gap := silence(before, last); gap >= leastSilence {
		told = append(told, fmt.Sprintf("the instance wrote nothing for %d ms, as one that is frozen", gap.Milliseconds()))
	}
	for _, c := range circumstances {
		if text := c.tell(before, last.Time); text != "" {
			told = append(told, text)
		}
	}
	return append(told, lostDependencies(before, last.Time)...)
}

// until returns the lines that are not after a time, in order of time.
func until(lines []Line, end time.Time) []Line {
	var before []Line
	for _, l := range lines {
		if !l.Time.After(end) {
			before = append(before, l)
		}
	}
	byTime(before)
	return before
}

// silence returns the longest time without a line of an instance in the seconds
// before a line of it, while others wrote some. The lines are in order of time
// and end with it.
func silence(lines []Line, last Line) time.Duration {
	var longest time.Duration
	var before time.Time
	others := false
	for _, l := range lines {
		if l.Source != last.Source {
			others = true
			continue
		}
		// The lines of a request are written when its process runs again.
		if !before.IsZero() && others && last.Time.Sub(l.Time) <= aroundTime {
			longest = max(longest, l.Time.Sub(before))
		}
		before, others = l.Time, false
	}
	return longest
}

// tell counts the distinct values of the circumstance's key in the lines shortly
// before a time.
func (c circumstance) tell(lines []Line, end time.Time) string {
	seen := make(map[string]bool)
	for _, l := range lines {
		if l.Event != c.event || end.Sub(l.Time) > aroundTime {
			continue
		}
		value := l.Source
		if c.key != "" {
			value = l.Get(c.key)
		}
		seen[value] = true
	}
	switch len(seen) {
	case 0:
		return ""
	case 1:
		return c.one
	default:
		return fmt.Sprintf(c.many, len(seen))
	}
}

// dependencyLink is one instance's way to something that it depends on.
type dependencyLink struct {
	instance string
	kind     string
	name     string
}

// lostDependencies tells which dependencies instances had lost at a time, or
// regained shortly before, by their kind.
func lostDependencies(lines []Line, end time.Time) []string {
	instances := make(map[string]map[string]bool)
	for link, regained := range dependencyLosses(lines) {
		if !regained.IsZero() && end.Sub(regained) > aroundTime {
			continue
		}
		if instances[link.kind] == nil {
			instances[link.kind] = make(map[string]bool)
		}
		instances[link.kind][link.instance] = true
	}
	told := make([]string, 0, len(instances))
	for kind, who := range instances {
		number := "an instance"
		if len(who) > 1 {
			number = fmt.Sprintf("%d instances", len(who))
		}
		told = append(told, number+" had lost "+dependencyName(kind))
	}
	slices.Sort(told)
	return told
}

// dependencyLosses returns the links that were lost by lines in order of time,
// with when each was regained; zero for those that were not. A process that
// starts has lost nothing yet.
func dependencyLosses(lines []Line) map[dependencyLink]time.Time {
	lost := make(map[dependencyLink]time.Time)
	for _, l := range lines {
		link := dependencyLink{l.Source, l.Get("dependency"), l.Get("peer") + l.Get("address") + l.Get("topic")}
		switch l.Event {
		case "dependency_lost":
			lost[link] = time.Time{}
		case "dependency_regained":
			lost[link] = l.Time
		case "start":
			maps.DeleteFunc(lost, func(old dependencyLink, _ time.Time) bool { return old.instance == l.Source })
		}
	}
	return lost
}

func dependencyName(kind string) string {
	switch kind {
	case "peer":
		return "a peer"
	case "store":
		return "a store or the events of an engine"
	case "":
		return "a dependency"
	default:
		return "the " + kind
	}
}

// Spent tells where a request's time went: in line, at its last upstream before
// the first event, and after that. It returns nothing for another line than
// request_done.
func Spent(l Line) string {
	if l.Event != "request_done" {
		return ""
	}
	waited, first, total := l.Number("waited_ms"), l.Number("first_ms"), l.Number("total_ms")
	switch {
	case l.Number("attempts") <= 0:
		return fmt.Sprintf("%d ms in line", total)
	case first < 0:
		return fmt.Sprintf("%d ms until the last send, %d ms without a first event", waited, total-waited)
	default:
		return fmt.Sprintf("%d ms until the first event, %d ms after it", first, total-first)
	}
}
