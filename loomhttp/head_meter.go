package loomhttp

import (
	"bytes"
	"strings"
)

// headFieldBytes is what a header field costs beyond twice its text: its entries in the parsed
// header and in the copy that is sent to an upstream, and the list that is sorted for
// sending. It is largest for fields of a few bytes: 300 bytes were measured.
const headFieldBytes = 320

// headMeter measures what the head of a request costs once it is parsed, from the bytes as they
// arrive. The zero value is ready for a head.
type headMeter struct {
	// lineLength is the length of the last line so far, without carriage returns.
	lineLength int
	// hasLine is set once a line that isn't empty has ended. Empty ones before it, which some
	// callers send after a body, don't end the head.
	hasLine    bool
	isComplete bool
}

// add returns the cost of a further part of the head, and zero after its end.
func (m *headMeter) add(b []byte) int64 {
	var cost int64
	for len(b) > 0 && !m.isComplete {
		i := bytes.IndexByte(b, '\n')
		text := b
		if i >= 0 {
			text = b[:i]
		}
		// A carriage return may arrive before the line feed.
		m.lineLength += len(text) - bytes.Count(text, []byte("\r"))
		if i < 0 {
			return cost + 2*int64(len(b))
		}
		cost += 2*int64(i+1) + headFieldBytes
		m.isComplete = m.lineLength == 0 && m.hasLine
		m.hasLine = m.hasLine || m.lineLength > 0
		m.lineLength = 0
		b = b[i+1:]
	}
	return cost
}

// interimHead begins the status line of an interim response, with any digits for the version.
const interimHead = "HTTP/x.x 1"

// responseMeter follows the heads of a response, from the bytes as they arrive: it counts their lines and
// finds the fields that frame the body, which net/http removes if it ignores them. The zero value is
// ready for a response.
type responseMeter struct {
	lines int
	// fields are those of the current head.
	fields responseFields
	// status is the beginning of the status line of the current head, without further blanks
	// before the status.
	status []byte
	// start is the beginning of the current line, as far as it may be a framing field.
	start []byte
	// lineLength is the length of the last line so far, without its end, and hasStatus is set
	// once the status line has ended.
	lineLength int
	hasStatus  bool
	isComplete bool
}

// responseFields are the fields in the head of a response that frame its body.
type responseFields struct {
	framingFields
	// isVersion10 is set in the head of a response of HTTP/1.0, which has no codings.
	isVersion10 bool
}

// isFaulty reports whether the fields don't say where the body ends.
func (f responseFields) isFaulty() bool {
	return f.hasCoding && (f.hasLength || f.isVersion10)
}

// add follows a further part of the response, up to the end of the head that is not interim.
func (m *responseMeter) add(b []byte) {
	for len(b) > 0 && !m.isComplete {
		i := bytes.IndexByte(b, '\n')
		text := b
		if i >= 0 {
			text = bytes.TrimSuffix(b[:i], []byte("\r"))
		}
		if m.hasStatus {
			m.start = append(m.start, text[:min(len(text), len(codingField)-len(m.start))]...)
		} else {
			m.addStatus(text)
		}
		// A carriage return may arrive before the line feed.
		m.lineLength += len(text) - bytes.Count(text, []byte("\r"))
		if i < 0 {
			return
		}
		m.endLine()
		b = b[i+1:]
	}
}

// addStatus adds a part of the status line.
func (m *responseMeter) addStatus(text []byte) {
	const blank = len("HTTP/x.x")
	for _, c := range text {
		if len(m.status) == len(interimHead) {
			return
		}
		if c == ' ' && len(m.status) == blank+1 {
			continue
		}
		m.status = append(m.status, c)
	}
}

// endLine decides what the line that has ended was.
func (m *responseMeter) endLine() {
	m.lines++
	switch {
	case !m.hasStatus:
		m.hasStatus = true
		m.fields = responseFields{isVersion10: strings.HasPrefix(string(m.status), "HTTP/1.0")}
	case m.lineLength == 0:
		m.isComplete = !m.isInterim()
		m.status, m.hasStatus = m.status[:0], false
	default:
		start := string(m.start)
		m.fields.hasLength = m.fields.hasLength || hasFoldedPrefix(start, lengthField)
		m.fields.hasCoding = m.fields.hasCoding || hasFoldedPrefix(start, codingField)
	}
	m.start, m.lineLength = m.start[:0], 0
}

// isInterim reports whether the current head is that of an interim response.
func (m *responseMeter) isInterim() bool {
	const version = len("HTTP/")
	if len(m.status) != len(interimHead) || string(m.status[:version]) != interimHead[:version] {
		return false
	}
	return string(m.status[len(interimHead)-2:]) == interimHead[len(interimHead)-2:]
}
