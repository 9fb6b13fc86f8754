package loomstandin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"swiftloom/loompb"
)

const maxServiceBody = 1 << 20

// ServiceOptions sets up a plain service.
type ServiceOptions struct {
	ID            string
	Group         string
	FailureDomain string
	Address       string
	// WorkTime is how long one call takes.
	WorkTime time.Duration
}

// ServiceReceipt is the answer of a plain service.
type ServiceReceipt struct {
	Job       string `json:"job"`
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
}

// Ledger counts the runs of jobs and of requests over all services that share
// it. The zero value is ready to use.
type Ledger struct {
	mu       sync.Mutex
	jobs     map[string]int
	requests map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{jobs: make(map[string]int), requests: make(map[string]int)}
}

func (l *Ledger) add(job, requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[job]++
	l.requests[requestID]++
}

// JobRuns returns how often a job ran.
func (l *Ledger) JobRuns(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[job]
}

// RequestRuns returns how often a request ran.
func (l *Ledger) RequestRuns(requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[requestID]
}

// Service stands in for a plain service. It runs a job as soon as it has read
// the call, whether or not the caller still waits for the answer.
type Service struct {
	options ServiceOptions
	ledger  *Ledger

	mu          sync.Mutex
	address     string
	server      *http.Server
	incarnation uint64
	leaving     bool
}

// NewService starts a service that counts its runs in ledger.
func NewService(o ServiceOptions, ledger *Ledger) (*Service, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	s := &Service{options: o, ledger: ledger, address: o.Address}
	return s, s.Restart()
}

// Restart starts the service, again at its address if it ran before.
func (s *Service) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := listen(s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.incarnation = max(s.incarnation+1, uint64(time.Now().UnixMilli()))
	s.leaving = false
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Second}
	go serveUntilClosed(s.server, listener)
	return nil
}

func serveUntilClosed(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener)
}

// Kill cuts every connection at once.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// Leave makes the service refuse new calls and announce that it leaves.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Member returns what the service announces, or nil while it is down.
func (s *Service) Member() *loompb.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return nil
	}
	liveness := loompb.Liveness_LIVENESS_LIVE
	if s.leaving {
		liveness = loompb.Liveness_LIVENESS_LEAVING
	}
	return &loompb.Member{
		Id:            s.options.ID,
		Kind:          "service",
		Group:         s.options.Group,
		FailureDomain: s.options.FailureDomain,
		Address:       s.address,
		Incarnation:   s.incarnation,
		Liveness:      liveness,
	}
}

// Announce reports the service to the platform until ctx ends.
func (s *Service) Announce(ctx context.Context, a Announcer) {
	announce(ctx, a, s.Member)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServiceBody))
	if err != nil {
		return
	}
	var receipt ServiceReceipt
	if err := json.Unmarshal(body, &receipt); err != nil || receipt.Job == "" {
		http.Error(w, `{"message":"a job is required"}`, http.StatusUnprocessableEntity)
		return
	}
	receipt.RequestID = r.Header.Get("X-Request-Id")
	receipt.Service = s.options.ID
	s.ledger.add(receipt.Job, receipt.RequestID)
	time.Sleep(s.options.WorkTime)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(receipt)
}
