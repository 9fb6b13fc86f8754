package loomlog

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

// Field is a key with its value.
type Field struct {
	Key   string
	Value string
}

// Line is a line of an instance's log. It is immutable.
type Line struct {
	Time time.Time
	// Source names the process if a log collector wrote its name before the
	// line, and the file otherwise.
	Source string
	Event  string
	// Fields holds the other fields, in order.
	Fields []Field
}

// Get returns the value of a field, or "" if there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Int returns the value of a field as an integer, or -1 if it is missing or not
// an integer.
func (l Line) Int(key string) int {
	n, err := strconv.Atoi(l.Get(key))
	if err != nil {
		return -1
	}
	return n
}

// ReadLines reads the lines of a log. It skips and counts lines that are not in the
// format of an instance.
func ReadLines(r io.Reader, source string) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line, ok := parseLine(s.Text(), source)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Annotatef(s.Err(), "read %s", source)
}

// parseLine parses a line with the fields time and msg. The last word before the
// time, if any, replaces source.
func parseLine(text, source string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	if fields := strings.Fields(text[:start]); len(fields) > 0 {
		source = fields[len(fields)-1]
	}
	line := Line{Source: source}
	d := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			line.Time = t
		case "msg":
			line.Event = value
		default:
			line.Fields = append(line.Fields, Field{Key: key, Value: value})
		}
	}
	return line, d.Err() == nil && line.Event != ""
}

// stateEvents are the events that change an instance's view of the deployment.
var stateEvents = []string{
	"catalogue_changed", "dependency_lost", "dependency_regained", "evacuation_ended", "evacuation_lost", "evacuation_started", "history_lost", "lease_given_up", "lease_lost", "lease_taken", "order_sent", "prompt_part_quarantined", "region_fault", "request_quarantined",
	"row_written_again", "rows_from_peer", "store_epoch_rose", "store_restarted", "upstream_ended", "upstream_held_off", "upstream_leaving", "upstream_limit_named", "upstream_limit_withdrawn", "upstream_listed", "upstream_removed",
	"upstream_weights", "weights_named",
}

// timelineMargin is how long before the first line of a request its timeline
// begins.
const timelineMargin = 3 * time.Second

// Timeline returns the lines that concern a request, in order of time: its own,
// and the state events about its upstreams or about no single upstream, at the
// instances that served it, from timelineMargin before its first line to its
// last.
func Timeline(lines []Line, requestID string) []Line {
	var timeline []Line
	instances, upstreams := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.Get("request_id") != requestID {
			continue
		}
		timeline = append(timeline, l)
		instances[l.Source] = true
		upstreams[l.Get("upstream")] = true
	}
	if len(timeline) == 0 {
		return nil
	}
	sortByTime(timeline)
	from, to := timeline[0].Time.Add(-timelineMargin), timeline[len(timeline)-1].Time
	for _, l := range lines {
		if !instances[l.Source] || l.Time.Before(from) || l.Time.After(to) || !slices.Contains(stateEvents, l.Event) {
			continue
		}
		if u := l.Get("upstream"); u == "" || upstreams[u] {
			timeline = append(timeline, l)
		}
	}
	sortByTime(timeline)
	return timeline
}

// sortByTime sorts lines by time and keeps the order of equal ones.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Cause is a reason for failed requests of a route, with their number.
type Cause struct {
	Route   string
	Outcome string
	Reason  string
	Count   int
	// Example is the ID of the first of the requests.
	Example string
}

// Causes groups the requests that got no response, or one with a failure status, by
// route, outcome and reason. The most frequent causes come first.
func Causes(lines []Line) []Cause {
	type group struct {
		route, outcome, reason string
	}
	counts := make(map[group]*Cause)
	for _, l := range lines {
		outcome, reason, failed := outcomeOf(l)
		if !failed {
			continue
		}
		g := group{cmp.Or(l.Get("route"), l.Get("path")), outcome, reason}
		if counts[g] == nil {
			counts[g] = &Cause{Route: g.route, Outcome: outcome, Reason: reason, Example: l.Get("request_id")}
		}
		counts[g].Count++
	}
	causes := make([]Cause, 0, len(counts))
	for _, c := range counts {
		causes = append(causes, *c)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return causes
}

// limitsMessage is a part of the message of each request that was refused because of the
// limits of its upstreams.
const limitsMessage = "limits of all upstreams"

// minFailureStatus is the lowest HTTP status that means that an upstream failed.
const minFailureStatus = 500

// outcomeOf returns how a request ended, and whether it failed. It reports false
// for a line that does not end a request.
func outcomeOf(l Line) (outcome, reason string, failed bool) {
	switch l.Event {
	case "request_refused":
		return l.Get("kind"), "refused before an upstream was chosen", true
	case "request_done":
	default:
		return "", "", false
	}
	outcome = l.Get("outcome")
	if outcome == "answered" && l.Int("status") < minFailureStatus {
		return "", "", false
	}
	return outcome, Reason(l), true
}

// Reason returns the reason for the end of a request. The text doesn't identify
// the request, so that equal reasons can be grouped.
func Reason(l Line) string {
	cause := l.Get("cause")
	switch {
	case strings.Contains(cause, "the caller's connection broke"), cause == "" && l.Get("outcome") == "canceled":
		return "the caller left " + phase(l)
	case cause == "":
		return reasonWithoutCause(l)
	case strings.Contains(cause, "dial tcp"):
		return "the upstream could not be reached"
	case strings.Contains(cause, "context canceled"):
		return "the caller left " + phase(l)
	case strings.Contains(cause, "deadline exceeded"):
		return "the time had passed " + phase(l)
	case strings.HasPrefix(cause, `event "`):
		return "the upstream sent events out of order"
	case strings.Contains(cause, "EOF"), strings.Contains(cause, "reset"), strings.Contains(cause, "timed out"):
		return "the connection to the upstream broke"
	default:
		return cause
	}
}

// reasonWithoutCause returns the reason for the end of a request of which no attempt
// has failed.
func reasonWithoutCause(l Line) string {
	isLimited := l.Int("held_ms") > 0 || strings.Contains(l.Get("message"), limitsMessage)
	switch {
	case l.Int("attempts") == 0 && isLimited:
		return "all upstreams were at their limits"
	case l.Int("attempts") == 0:
		return "no upstream had room or lived"
	case l.Get("outcome") == "answered":
		return fmt.Sprintf("the upstream answered %s", l.Get("status"))
	case l.Int("first_ms") < 0:
		return "the upstream had not begun to answer"
	default:
		return "the answer was under way"
	}
}

// phase returns the stage that a request had reached when it ended.
func phase(l Line) string {
	switch {
	case l.Int("attempts") == 0:
		return "while the request waited in line"
	case l.Int("first_ms") < 0:
		return "before the first event"
	default:
		return "midway"
	}
}
