package loomlog

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// contextWindow is how long before the end of a request events of the deployment
// count as a possible cause. Loading weights takes an engine out of service for
// three to five seconds.
const contextWindow = 5 * time.Second

// siteEvent is an event of the deployment that can affect many requests, such as a
// new version of weights. Log lines with the name event report it.
type siteEvent struct {
	event string
	// singular and plural describe it; plural has a %d for the number.
	singular string
	plural   string
	// key is the field whose distinct values are counted; if it is empty, the
	// instances are counted.
	key string
}

// siteEvents lists the events in the order in which they explain a failure, which is
// the order in which SiteEvents returns them.
var siteEvents = []siteEvent{
	{"start", "an instance was started", "%d instances were started", ""},
	{"weights_named", "new weights were named", "%d versions of weights were named", "version"},
	{"order_sent", "an engine was ordered to load weights", "%d engines were ordered to load weights", "upstream"},
	{"upstream_removed", "an upstream was removed from the list", "%d upstreams were removed from the list", "upstream"},
	{"upstream_leaving", "an upstream was seen to leave", "%d upstreams were seen to leave", "upstream"},
	{"upstream_held_off", "an upstream asked to be left alone for a time", "%d upstreams asked to be left alone for a time", "upstream"},
	{"store_restarted", "a store for kept state was started again", "%d stores for kept state were started again", "address"},
	{"upstream_limit_named", "an upstream named a limit", "%d upstreams named limits", "upstream"},
	{"store_epoch_rose", "the platform's store returned from an older copy", "the platform's store returned from an older copy, %d times", "epoch"},
	{"catalogue_changed", "a new revision came into force", "%d revisions came into force", "revision"},
}

// minSilence is the shortest gap between lines that shows that a process was
// suspended. A process that serves requests writes many lines a second.
const minSilence = 1500 * time.Millisecond

// SiteEvents describes the events of the deployment, at any instance, in the
// seconds before the last line of a request.
func SiteEvents(lines []Line, last Line) []string {
	before := linesUntil(lines, last.Time)
	var texts []string
	if pause := longestSilence(before, last); pause >= minSilence {
		texts = append(texts, fmt.Sprintf("the instance wrote nothing for %d ms, as one that is frozen", pause.Milliseconds()))
	}
	for _, e := range siteEvents {
		if text := e.describe(before, last.Time); text != "" {
			texts = append(texts, text)
		}
	}
	return append(texts, describeLostDependencies(before, last.Time)...)
}

// linesUntil returns the lines up to and including end, in order of time.
func linesUntil(lines []Line, end time.Time) []Line {
	var before []Line
	for _, l := range lines {
		if !l.Time.After(end) {
			before = append(before, l)
		}
	}
	sortByTime(before)
	return before
}

// longestSilence returns the longest gap between lines of last's instance that ends
// within contextWindow before last and during which other instances wrote lines. The
// lines must be in order of time and end at the time of last.
func longestSilence(lines []Line, last Line) time.Duration {
	var longest time.Duration
	var previous time.Time
	othersWrote := false
	for _, l := range lines {
		if l.Source != last.Source {
			othersWrote = true
			continue
		}
		// A suspended process writes the lines of its requests once it runs
		// again, so the gap ends at one of them.
		if !previous.IsZero() && othersWrote && last.Time.Sub(l.Time) <= contextWindow {
			longest = max(longest, l.Time.Sub(previous))
		}
		previous, othersWrote = l.Time, false
	}
	return longest
}

// describe returns the text for the number of distinct values of the event's key in
// the lines within contextWindow before end, or "" if there are none.
func (e siteEvent) describe(lines []Line, end time.Time) string {
	seen := make(map[string]bool)
	for _, l := range lines {
		if l.Event != e.event || end.Sub(l.Time) > contextWindow {
			continue
		}
		value := l.Source
		if e.key != "" {
			value = l.Get(e.key)
		}
		seen[value] = true
	}
	switch len(seen) {
	case 0:
		return ""
	case 1:
		return e.singular
	default:
		return fmt.Sprintf(e.plural, len(seen))
	}
}

// dependency is an instance's connection to a service that it depends on.
type dependency struct {
	instance string
	kind     string
	name     string
}

// describeLostDependencies describes, for each kind of dependency, how many instances
// were disconnected from one at end or within contextWindow before it.
func describeLostDependencies(lines []Line, end time.Time) []string {
	instances := make(map[string]map[string]bool)
	for dep, regained := range dependencyLosses(lines) {
		if !regained.IsZero() && end.Sub(regained) > contextWindow {
			continue
		}
		if instances[dep.kind] == nil {
			instances[dep.kind] = make(map[string]bool)
		}
		instances[dep.kind][dep.instance] = true
	}
	texts := make([]string, 0, len(instances))
	for kind, affected := range instances {
		subject := "an instance"
		if len(affected) > 1 {
			subject = fmt.Sprintf("%d instances", len(affected))
		}
		texts = append(texts, subject+" had lost "+dependencyName(kind))
	}
	slices.Sort(texts)
	return texts
}

// dependencyLosses returns the dependencies that were lost, with the time at which
// each was regained, or the zero time. The lines must be in order of time. The start
// of an instance clears its losses.
func dependencyLosses(lines []Line) map[dependency]time.Time {
	regainedAt := make(map[dependency]time.Time)
	for _, l := range lines {
		dep := dependency{l.Source, l.Get("dependency"), l.Get("peer") + l.Get("address") + l.Get("topic")}
		switch l.Event {
		case "dependency_lost":
			regainedAt[dep] = time.Time{}
		case "dependency_regained":
			regainedAt[dep] = l.Time
		case "start":
			maps.DeleteFunc(regainedAt, func(old dependency, _ time.Time) bool { return old.instance == l.Source })
		}
	}
	return regainedAt
}

// dependencyName returns the printed name of a kind of dependency.
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

// TimeBreakdown describes how the duration of a request divides into the time in
// the queue, the time at its last upstream until the first event, and the time
// after it. It returns "" for a line other than request_done.
func TimeBreakdown(l Line) string {
	if l.Event != "request_done" {
		return ""
	}
	waited, first, total := l.Int("waited_ms"), l.Int("first_ms"), l.Int("total_ms")
	held := ""
	if n := l.Int("held_ms"); n > 0 {
		held = fmt.Sprintf(", %d ms of them held for the limits of upstreams", n)
	}
	switch {
	case l.Int("attempts") <= 0:
		return fmt.Sprintf("%d ms in line%s", total, held)
	case first < 0:
		return fmt.Sprintf("%d ms until the last send%s, %d ms without a first event", waited, held, total-waited)
	default:
		return fmt.Sprintf("%d ms until the first event%s, %d ms after it", first, held, total-first)
	}
}
