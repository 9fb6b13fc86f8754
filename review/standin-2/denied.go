package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// deniedRequests is the number of requests of playDenied, and deniedAllowed how many of them may be
// ended with a status of the system's own.
const (
	deniedRequests = 40
	deniedAllowed  = 5 + deniedRequests/500
)

// playDenied sends bodies in chunks that hold the text of an e-mail, with the line Content-Length
// in its head or, without the disruption, without that line.
func playDenied(s *site, trouble bool) error {
	m, err := s.addRunner("i-02d9e6b4", "booking-app", "half-way-tree", "")
	if err != nil {
		return err
	}
	s.store.put("op", "config", manifest(7, nil))
	g, err := s.newGate("front-half-way-tree-1", "half-way-tree", true)
	if err != nil {
		return err
	}
	if err := s.start(g); err != nil {
		return err
	}
	if err := s.awaitReady(g, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond)
	line := "Content-Length: 27\r\n"
	if !trouble {
		line = "Lines: 1\r\n"
	}
	body := "From: master@quay.example\r\nSubject: booking\r\nContent-Type: text/plain\r\n" + line + "\r\nThe kitchen is under water.\r\n"
	denied := 0
	for i := range deniedRequests {
		id := fmt.Sprintf("b00k%012d", i)
		status, err := s.sendChunked(g, id, body)
		if err != nil {
			return fmt.Errorf("request %s: %w", id, err)
		}
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied++
		}
	}
	m.mu.Lock()
	runs := len(m.runs)
	m.mu.Unlock()
	s.rec.printf("requests ended with a status of the system's own: %d of %d (allowed %d); runs: %d", denied, deniedRequests, deniedAllowed, runs)
	if denied > deniedAllowed {
		return errBroken
	}
	if runs != deniedRequests {
		return fmt.Errorf("%d of %d requests have run", runs, deniedRequests)
	}
	return nil
}

// sendChunked sends a request with a body in one chunk on a new channel, and returns the status of
// the answer.
func (s *site) sendChunked(g *gateProcess, id, body string) (int, error) {
	c, err := net.Dial("tcp", g.callers)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	head := "POST /book/1 HTTP/1.1\r\nHost: nylo40.example\r\nSwiftloom-Request-Id: " + id +
		"\r\nSwiftloom-Deadline-Ms: 5000\r\nAuthorization: Bearer key-port-council\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n0\r\n\r\n", head, len(body), body); err != nil {
		return 0, err
	}
	s.rec.printf("request %s sent to %s, with a body of %d bytes in a chunk", id, g.node, len(body))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Body.Close() }()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, err
	}
	s.rec.printf("request %s answered: status %d, stamp %q, %q", id, w.StatusCode, w.Header.Get("Swiftloom-Server-Stamp"), text)
	return w.StatusCode, nil
}
