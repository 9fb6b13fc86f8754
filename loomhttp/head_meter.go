package loomhttp

import "bytes"

// headFieldBytes is what a header field costs beyond twice its text: its entries in the parsed
// header and in the copy that is sent to an upstream, and the list that is sorted for
// sending. It is largest for fields of a few bytes: 300 bytes were measured.
const headFieldBytes = 320

// headMeter measures what the head of a request costs once it is parsed, from the bytes as they
// arrive. The zero value is ready for a head.
type headMeter struct {
	// lineLength is the length of the last line so far, without its end.
	lineLength int
	isComplete bool
}

// add returns the cost of a further part of the head, and zero after its end.
func (m *headMeter) add(b []byte) int64 {
	var cost int64
	for len(b) > 0 && !m.isComplete {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			m.lineLength += len(b)
			return cost + 2*int64(len(b))
		}
		line := bytes.TrimSuffix(b[:i], []byte("\r"))
		cost += 2*int64(i+1) + headFieldBytes
		m.isComplete = m.lineLength+len(line) == 0
		m.lineLength = 0
		b = b[i+1:]
	}
	return cost
}
