package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// playDenied sends deniedRequests requests on channels of their own and two on each of keptChannels.
// deniedAllowed is how many of all may be ended with a status of the system's own.
const (
	deniedRequests = 40
	keptChannels   = 10
	allDenied      = deniedRequests + 2*keptChannels
	deniedAllowed  = 5 + allDenied/500
	// textBefore is the length of the text before the e-mail in the first body on a kept channel.
	textBefore = 9000
)

// playDenied sends bodies in chunks that hold the text of an e-mail, with the line Content-Length
// in its head or, without the disruption, without that line. On kept channels the e-mail stands
// further back in the first body, and the second body holds none.
func playDenied(s *site, trouble bool) error {
	m, err := s.addRunner("i-02d9e6b4", "booking-app", "")
	if err != nil {
		return err
	}
	s.store.put("op", "config", manifest(7, nil))
	g, err := s.startGate()
	if err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond)
	line := "Content-Length: 27\r\n"
	if !trouble {
		line = "Lines: 1\r\n"
	}
	body := "From: master@quay.example\r\nSubject: booking\r\nContent-Type: text/plain\r\n" + line + "\r\nThe kitchen is under water.\r\n"
	denied, after, err := s.sendMails(g, body)
	if err != nil {
		return err
	}
	m.mu.Lock()
	runs := len(m.runs)
	m.mu.Unlock()
	s.rec.printf("requests ended with a status of the system's own: %d of %d (allowed %d); runs: %d", denied, allDenied, deniedAllowed, runs)
	s.rec.printf("of these, second requests on a kept channel, whose own bodies hold no e-mail: %d of %d", after, keptChannels)
	if denied > deniedAllowed {
		return errBroken
	}
	if runs != allDenied {
		return fmt.Errorf("%d of %d requests have run", runs, allDenied)
	}
	return nil
}

// isDenied reports whether a status is one that the rule counts.
func isDenied(status int) bool {
	return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429
}

// sendMails sends all requests. It returns how many were denied, and how many of these were second
// requests on a kept channel.
func (s *site) sendMails(g *gateProcess, body string) (denied, after int, err error) {
	for i := range deniedRequests {
		statuses, err := s.sendChunked(g, []string{fmt.Sprintf("b00k%012d", i)}, []string{body})
		if err != nil {
			return denied, after, err
		}
		if isDenied(statuses[0]) {
			denied++
		}
	}
	for i := range keptChannels {
		ids := []string{fmt.Sprintf("f125%012d", i), fmt.Sprintf("5ec0%012d", i)}
		statuses, err := s.sendChunked(g, ids, []string{strings.Repeat("a", textBefore) + "\r\n" + body, "The kitchen is dry."})
		if err != nil {
			return denied, after, err
		}
		for j, status := range statuses {
			if isDenied(status) {
				denied++
				after += j
			}
		}
	}
	return denied, after, nil
}

// sendChunked sends requests one after the other on a new channel, each with a body in one chunk, and
// returns the statuses of the answers.
func (s *site) sendChunked(g *gateProcess, ids, bodies []string) ([]int, error) {
	c, err := new(net.Dialer).DialContext(context.Background(), "tcp", g.callers)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var statuses []int
	for i, id := range ids {
		head := "POST /book/1 HTTP/1.1\r\nHost: nylo40.example\r\nSwiftloom-Request-Id: " + id +
			"\r\nSwiftloom-Deadline-Ms: 5000\r\nAuthorization: Bearer key-port-council\r\nTransfer-Encoding: chunked\r\n\r\n"
		if _, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n0\r\n\r\n", head, len(bodies[i]), bodies[i]); err != nil {
			return nil, fmt.Errorf("request %s: %w", id, err)
		}
		s.rec.printf("request %s sent to %s, with a body of %d bytes in a chunk", id, g.node, len(bodies[i]))
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		w, err := http.ReadResponse(r, nil)
		if err != nil {
			return nil, fmt.Errorf("answer to request %s: %w", id, err)
		}
		text, err := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("answer to request %s: %w", id, err)
		}
		s.rec.printf("request %s answered: status %d, stamp %q, %q", id, w.StatusCode, w.Header.Get("Swiftloom-Server-Stamp"), text)
		statuses = append(statuses, w.StatusCode)
	}
	return statuses, nil
}
