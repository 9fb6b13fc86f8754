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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Field is one key with its value.
type Field struct {
	Key   string
	Value string
}

// Line is one line of an instance's log. It is immutable.
type Line struct {
	Time time.Time
	// Source names the file, or the process where a collector wrote its name
	// before the line.
	Source string
	Event  string
	// Fields holds the rest, in order.
	Fields []Field
}

// Get returns the value of a field, or nothing.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Number returns the value of a field as a number, or -1.
func (l Line) Number(key string) int {
	n, err := strconv.Atoi(l.Get(key))
	if err != nil {
		return -1
	}
	return n
}

// ReadLines reads the lines of a log. What is no line of an instance is passed
// over and counted.
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

func parseLine(text, source string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	if words := strings.Fields(text[:at]); len(words) > 0 {
		source = words[len(words)-1]
	}
	line := Line{Source: source}
	d := logfmt.NewDecoder(strings.NewReader(text[at:]))
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

// beliefEvents are the events that change what an instance believes.
var beliefEvents = []string{
	"catalogue_changed", "dependency_lost", "dependency_regained", "history_lost", "lease_given_up", "lease_lost", "lease_taken", "order_sent",
	"rows_from_peer", "store_restarted", "upstream_leaving", "upstream_listed", "upstream_removed",
	"upstream_weights", "weights_named",
}

// storyMargin is how long before a request changes of belief belong to its
// story.
const storyMargin = 3 * time.Second

// Story returns the lines that tell of a request, in order of time: its own, and
// the changes of belief about its upstreams at the instances that served it,
// from shortly before it until its end.
func Story(lines []Line, requestID string) []Line {
	var own []Line
	instances, upstreams := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.Get("request_id") != requestID {
			continue
		}
		own = append(own, l)
		instances[l.Source] = true
		upstreams[l.Get("upstream")] = true
	}
	if len(own) == 0 {
		return nil
	}
	byTime(own)
	from, to := own[0].Time.Add(-storyMargin), own[len(own)-1].Time
	for _, l := range lines {
		if !instances[l.Source] || l.Time.Before(from) || l.Time.After(to) || !slices.Contains(beliefEvents, l.Event) {
			continue
		}
		if u := l.Get("upstream"); u == "" || upstreams[u] {
			own = append(own, l)
		}
	}
	byTime(own)
	return own
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Cause is why requests of a route ended as they did, with their number.
type Cause struct {
	Route   string
	Outcome string
	Reason  string
	Count   int
	// Example is the ID of the first such request.
	Example string
}

// Causes groups the requests that were not answered, or answered with a failure,
// by route, outcome and reason; the most frequent come first.
func Causes(lines []Line) []Cause {
	type group struct {
		route, outcome, reason string
	}
	counts := make(map[group]*Cause)
	for _, l := range lines {
		outcome, reason, failed := verdict(l)
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

// leastFailure is the lowest status that says that an upstream failed.
const leastFailure = 500

// verdict returns how a request ended, and whether it failed.
func verdict(l Line) (outcome, reason string, failed bool) {
	switch l.Event {
	case "request_refused":
		return l.Get("kind"), "refused before an upstream was chosen", true
	case "request_done":
	default:
		return "", "", false
	}
	outcome = l.Get("outcome")
	if outcome == "answered" && l.Number("status") < leastFailure {
		return "", "", false
	}
	return outcome, ReasonOf(l), true
}

// ReasonOf returns the reason of a request's end in words that do not name the
// request.
func ReasonOf(l Line) string {
	cause := l.Get("cause")
	switch {
	case strings.Contains(cause, "the caller's connection broke"), cause == "" && l.Get("outcome") == "canceled":
		return "the caller left " + phase(l)
	case cause == "" && l.Number("attempts") == 0:
		return "no upstream had room or lived"
	case cause == "" && l.Get("outcome") == "answered":
		return fmt.Sprintf("the upstream answered %s", l.Get("status"))
	case cause == "" && l.Number("first_ms") < 0:
		return "the upstream had not begun to answer"
	case cause == "":
		return "the answer was under way"
	case strings.Contains(cause, "dial tcp"):
		return "the upstream could not be reached"
	case strings.Contains(cause, "context canceled"):
		return "the caller left " + phase(l)
	case strings.Contains(cause, "deadline exceeded"):
		return "the time had passed " + phase(l)
	case strings.Contains(cause, "EOF"), strings.Contains(cause, "reset"), strings.Contains(cause, "timed out"):
		return "the connection to the upstream broke"
	default:
		return cause
	}
}

// phase returns how far a request had come at its end.
func phase(l Line) string {
	switch {
	case l.Number("attempts") == 0:
		return "while the request waited in line"
	case l.Number("first_ms") < 0:
		return "before the first event"
	default:
		return "midway"
	}
}
