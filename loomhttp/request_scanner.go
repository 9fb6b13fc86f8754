package loomhttp

import (
	"bytes"
	"net/http"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// scanState is the part of a request that the next byte of a connection belongs to.
type scanState int

const (
	// scanStart precedes a head. Line ends are skipped there, as some callers send one after a
	// body.
	scanStart scanState = iota
	scanHead
	// scanComplete follows a head until http.Server has said what body the request has.
	scanComplete
	scanBody
	scanChunkSize
	scanTrailer
	// scanLost follows bytes that can't be part of a request, after which http.Server reads no
	// further one.
	scanLost
)

const (
	lengthField = "content-length:"
	codingField = "transfer-encoding:"
	// maxPending bounds the bytes that are kept until the framing of a request is known. The
	// read buffer of http.Server holds 4 KiB.
	maxPending = 64 << 10
	// maxChunkDigits is the length of the longest chunk size.
	maxChunkDigits = 16
)

// requestScanner follows the requests on a connection, from the bytes as they arrive, and finds the
// framing fields in the head of each. http.Server removes Content-Length from a request that also has
// Transfer-Encoding, so a handler alone can't tell that it had both, which allows request
// smuggling. What body a request has is decided by http.Server alone: the scanner learns it with
// the request, and so can't lose its place in what http.Server accepts. The zero value is ready for
// the first request.
type requestScanner struct {
	state scanState
	// fields is what the head so far, or the complete one, has of the framing fields.
	fields framingFields
	// line is the beginning of the current line, as far as it may be a framing field, and
	// lineLength its length. endsWithCR is set if its last byte is a carriage return.
	line       [len(codingField)]byte
	lineLength int
	endsWithCR bool
	// isRequestLine is set during the first line of a head.
	isRequestLine bool
	// left is the number of bytes that are left of a body or chunk, and isChunked is set if a
	// chunk size follows.
	left      int64
	isChunked bool
	// size is the chunk size so far, digits how many digits it has had, and isExtension is set
	// after its end.
	size        int64
	digits      int
	isExtension bool
	// pending holds the bytes after the complete head.
	pending *bytes.Buffer
}

// framingFields are the fields in a head that frame a body.
type framingFields struct {
	hasLength, hasCoding bool
}

// pendingBuffers holds buffers for requestScanner.pending.
var pendingBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// add follows the next bytes of the connection.
func (s *requestScanner) add(b []byte) {
	for len(b) > 0 {
		switch s.state {
		case scanStart:
			b = s.skipLineEnds(b)
		case scanHead, scanTrailer:
			b = s.addLine(b)
		case scanComplete:
			s.keep(b)
			return
		case scanBody:
			n := min(s.left, int64(len(b)))
			s.left -= n
			b = b[n:]
			if s.left == 0 {
				s.endBody()
			}
		case scanChunkSize:
			b = s.addChunkSize(b)
		case scanLost:
			return
		}
	}
}

func (s *requestScanner) skipLineEnds(b []byte) []byte {
	b = bytes.TrimLeft(b, "\r\n")
	if len(b) > 0 {
		s.state, s.fields, s.isRequestLine = scanHead, framingFields{}, true
		s.beginLine()
	}
	return b
}

func (s *requestScanner) beginLine() {
	s.lineLength, s.endsWithCR = 0, false
}

// addLine follows a line of a head or trailer, and returns the bytes after it.
func (s *requestScanner) addLine(b []byte) []byte {
	i := bytes.IndexByte(b, '\n')
	text := b
	if i >= 0 {
		text = b[:i]
	}
	if s.lineLength < len(s.line) {
		copy(s.line[s.lineLength:], text)
	}
	s.lineLength += len(text)
	if len(text) > 0 {
		s.endsWithCR = text[len(text)-1] == '\r'
	}
	if i < 0 {
		return nil
	}
	s.endLine()
	return b[i+1:]
}

// endLine decides what the line that has ended was.
func (s *requestScanner) endLine() {
	isEmpty := s.lineLength == 0 || s.lineLength == 1 && s.endsWithCR
	switch {
	case isEmpty && s.state == scanTrailer:
		s.state = scanStart
	case isEmpty:
		s.state = scanComplete
	case s.state == scanHead && !s.isRequestLine:
		start := string(s.line[:min(s.lineLength, len(s.line))])
		s.fields.hasLength = s.fields.hasLength || hasFoldedPrefix(start, lengthField)
		s.fields.hasCoding = s.fields.hasCoding || hasFoldedPrefix(start, codingField)
	}
	s.isRequestLine = false
	s.beginLine()
}

// hasFoldedPrefix reports whether text begins with prefix, in any case.
func hasFoldedPrefix(text, prefix string) bool {
	return len(text) >= len(prefix) && strings.EqualFold(text[:len(prefix)], prefix)
}

// keep keeps bytes that follow the complete head.
func (s *requestScanner) keep(b []byte) {
	if s.pending == nil {
		s.pending, _ = pendingBuffers.Get().(*bytes.Buffer)
	}
	if s.pending.Len()+len(b) > maxPending {
		s.release()
		s.state = scanLost
		return
	}
	_, _ = s.pending.Write(b)
}

// release gives back the buffer of the pending bytes.
func (s *requestScanner) release() {
	if s.pending != nil {
		s.pending.Reset()
		pendingBuffers.Put(s.pending)
		s.pending = nil
	}
}

// endBody follows the end of a body or of a chunk with its line end.
func (s *requestScanner) endBody() {
	s.state = scanStart
	if s.isChunked {
		s.beginChunk()
	}
}

func (s *requestScanner) beginChunk() {
	s.state, s.size, s.digits, s.isExtension = scanChunkSize, 0, 0, false
	s.beginLine()
}

// addChunkSize follows the line before a chunk, and returns the bytes after it.
func (s *requestScanner) addChunkSize(b []byte) []byte {
	for i, c := range b {
		if c == '\n' {
			s.endChunkSize()
			return b[i+1:]
		}
		digit, isDigit := hexDigit(c)
		switch {
		case c == '\r' || s.isExtension:
		case isDigit && s.digits < maxChunkDigits && s.size>>(63-4) == 0:
			s.size = s.size<<4 | digit
			s.digits++
		case c == ';' || c == ' ' || c == '\t':
			s.isExtension = true
		default:
			s.state = scanLost
			return nil
		}
	}
	return nil
}

// endChunkSize begins the chunk or, after the last one, the trailer.
func (s *requestScanner) endChunkSize() {
	const lineEnd = 2
	switch {
	case s.digits == 0 || s.size > 1<<62:
		s.state = scanLost
	case s.size == 0:
		s.state, s.isChunked = scanTrailer, false
		s.beginLine()
	default:
		s.state, s.left = scanBody, s.size+lineEnd
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (int64, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	default:
		return 0, false
	}
}

// ErrFraming is the cause of errors that say that a request has no clear end.
var ErrFraming = errors.New("request whose framing is ambiguous")

// begin learns the body of the request whose head is complete, and goes on behind it. Its error has
// the cause ErrFraming: the request must not run, and no further one may be read from the
// connection.
func (s *requestScanner) begin(r *http.Request) error {
	if s.state != scanComplete {
		s.state = scanLost
		return errors.Annotate(ErrFraming, "head not found among the bytes of the connection")
	}
	if err := s.checkFields(r); err != nil {
		s.release()
		s.state = scanLost
		return err
	}
	s.isChunked = len(r.TransferEncoding) > 0
	s.left = max(r.ContentLength, 0)
	switch {
	case s.isChunked:
		s.beginChunk()
	case s.left > 0:
		s.state = scanBody
	default:
		s.state = scanStart
	}
	if s.pending == nil {
		return nil
	}
	pending := s.pending
	s.pending = nil
	s.add(pending.Bytes())
	pending.Reset()
	pendingBuffers.Put(pending)
	return nil
}

// checkFields returns an error unless the head has at most one of the framing fields, and one that
// the version of the request allows.
func (s *requestScanner) checkFields(r *http.Request) error {
	switch {
	case s.fields.hasLength && s.fields.hasCoding:
		return errors.Annotate(ErrFraming, "both Content-Length and Transfer-Encoding")
	case s.fields.hasCoding && !r.ProtoAtLeast(1, 1):
		return errors.Annotatef(ErrFraming, "Transfer-Encoding in %s", r.Proto)
	case s.fields.hasCoding != (len(r.TransferEncoding) > 0), r.ContentLength > 0 && !s.fields.hasLength:
		return errors.Annotate(ErrFraming, "body without its field in the head")
	default:
		return nil
	}
}
