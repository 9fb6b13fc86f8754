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

const maxServiceBodyBytes = 1 << 20

// ServiceOptions configures a Service. If Address is empty, the service listens
// on a free port of the loopback interface.
type ServiceOptions struct {
	ID            string
	Group         string
	FailureDomain string
	Address       string
	// WorkTime is the time from running a job to the response.
	WorkTime time.Duration
	// EndsUnder reports whether the service's process ends under a job, RestartDelay before it
	// starts again; nil means that it ends under none.
	EndsUnder    func(job string) bool
	RestartDelay time.Duration
}

// ServiceReceipt is the JSON body of a service's response.
type ServiceReceipt struct {
	Job       string `json:"job"`
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
}

// RunCounter counts the runs of each job and each request over all services that
// share it. Its methods may be called concurrently. It must be created with
// NewRunCounter.
type RunCounter struct {
	mu       sync.Mutex
	jobs     map[string]int
	requests map[string]int
}

// NewRunCounter returns a RunCounter with no runs.
func NewRunCounter() *RunCounter {
	return &RunCounter{jobs: make(map[string]int), requests: make(map[string]int)}
}

func (c *RunCounter) add(job, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job]++
	c.requests[requestID]++
}

// JobRuns returns the number of runs of a job.
func (c *RunCounter) JobRuns(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[job]
}

// RequestRuns returns the number of runs, of any job, under a request ID.
func (c *RunCounter) RequestRuns(requestID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[requestID]
}

// Service is a stand-in for a plain HTTP service. It runs a job as soon as it has
// read the request, even if the caller has gone, so that an attempt whose
// response is lost still counts as a run.
type Service struct {
	options ServiceOptions
	runs    *RunCounter

	mu          sync.Mutex
	address     string
	server      *http.Server
	incarnation uint64
	leaving     bool
}

// NewService starts a service, which adds its runs to the given counter. The
// caller must end it with Kill.
func NewService(o ServiceOptions, runs *RunCounter) (*Service, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	s := &Service{options: o, runs: runs, address: o.Address}
	return s, s.Restart()
}

// Restart starts the service, on its previous address if it has run before. The
// service must not be running.
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

// Kill closes the listener and all connections without waiting for requests to
// end.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// endForAWhile ends the service's process and starts it again. The response of the request under
// which it ends is lost.
func (s *Service) endForAWhile() {
	s.mu.Lock()
	isUp := s.server != nil
	s.mu.Unlock()
	if !isUp {
		return
	}
	s.Kill()
	time.AfterFunc(s.options.RestartDelay, func() { _ = s.Restart() })
}

// Leave makes the service refuse new requests, with the header X-Not-Run as a
// promise that the job did not run, and announce itself as leaving.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Member returns the service's announcement, or nil while the service is down.
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

// Announce announces the service to the platform at regular intervals until ctx
// is done.
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServiceBodyBytes))
	if err != nil {
		http.Error(w, `{"message":"the request body could not be read"}`, http.StatusBadRequest)
		return
	}
	var receipt ServiceReceipt
	if err := json.Unmarshal(body, &receipt); err != nil || receipt.Job == "" {
		http.Error(w, `{"message":"a job is required"}`, http.StatusUnprocessableEntity)
		return
	}
	receipt.RequestID = r.Header.Get("X-Request-Id")
	receipt.Service = s.options.ID
	s.runs.add(receipt.Job, receipt.RequestID)
	time.Sleep(s.options.WorkTime)
	if s.options.EndsUnder != nil && s.options.EndsUnder(receipt.Job) {
		s.endForAWhile()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(receipt)
}
