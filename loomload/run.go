package loomload

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftloom/loomcache"
	"swiftloom/loomkernel"
	"swiftloom/loomstandin"
)

const (
	defaultAttempts = 6
	retryDelay      = 300 * time.Millisecond
	requestTimeout  = 30 * time.Second
	readyInterval   = 150 * time.Millisecond
	readyTimeout    = 300 * time.Millisecond
	// maxLatencyMicros and histogramDigits are the highest value, in microseconds,
	// and the significant digits of latency histograms.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	histogramDigits  = 3
	// jitterSteps is the number of different delays before the retry of a call,
	// so that calls that failed together are not retried together.
	jitterSteps = 16
)

// Balancer chooses among the instances that are ready. It is a stand-in for the
// platform's load balancer and polls the readiness endpoint of each instance. Its
// methods may be called concurrently.
type Balancer struct {
	client *http.Client

	mu        sync.Mutex
	addresses []string
	// ready holds the addresses that were ready at the latest poll.
	ready []string
	// next counts the picks, for round robin.
	next atomic.Uint64
}

// NewBalancer returns a balancer for instances at addresses, all of which count as
// ready until the first poll.
func NewBalancer(addresses []string) *Balancer {
	return &Balancer{client: &http.Client{Timeout: readyTimeout}, addresses: addresses, ready: addresses}
}

// SetAddresses replaces the addresses from the next poll on.
func (b *Balancer) SetAddresses(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = slices.Clone(addresses)
}

// Run polls the readiness of all instances at regular intervals until ctx is done.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		b.poll(ctx)
		select {
		case <-ctx.Done():
			b.client.CloseIdleConnections()
			return
		case <-ticker.C:
		}
	}
}

// poll requests the readiness of all instances concurrently.
func (b *Balancer) poll(ctx context.Context) {
	b.mu.Lock()
	addresses := slices.Clone(b.addresses)
	b.mu.Unlock()
	ok := make([]bool, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { ok[i] = b.isReady(ctx, address) })
	}
	wg.Wait()
	var ready []string
	for i, address := range addresses {
		if ok[i] {
			ready = append(ready, address)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *Balancer) isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	w, err := b.client.Do(r)
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// WaitReady polls until at least one instance is ready. It reports false if none is
// within d or ctx is done.
func (b *Balancer) WaitReady(ctx context.Context, d time.Duration) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		if b.poll(ctx); b.Ready() > 0 {
			return true
		}
		if !sleepUntil(ctx, time.Now().Add(readyInterval)) {
			return false
		}
	}
	return false
}

// Ready returns the number of instances that were ready at the latest poll.
func (b *Balancer) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Pick returns the address of a ready instance by round robin, or false if there is
// none.
func (b *Balancer) Pick() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[int(b.next.Add(1))%len(b.ready)], true
}

// RunCounts reports how often jobs and requests really ran. It is implemented on
// top of stand-ins that run in the same process.
type RunCounts interface {
	// JobRuns returns the number of runs of a service's job.
	JobRuns(job string) int
	// RequestRuns returns the number of runs of a request at all upstreams.
	RequestRuns(requestID string) int
}

// Result holds the measurements of a run.
type Result struct {
	// Requests is the number of planned requests, with duplicates of calls.
	Requests int
	Answered int
	// RefusedNotRun counts requests that finally failed with the promise that they
	// did not run, or that were never sent.
	RefusedNotRun int
	// Failed counts requests whose last attempt ended with another kind of error
	// or with a failed connection.
	Failed int
	// WrongAnswers counts answers that are incomplete or differ from the expected
	// ones.
	WrongAnswers int
	// DoubleRuns counts jobs that ran more than once.
	DoubleRuns int
	// Lost counts requests whose last response was an error without a kind, and
	// answered calls whose job did not run.
	Lost int
	// FalseNotRun counts refusals that promised that the request did not run
	// although it ran.
	FalseNotRun int
	// PromptTokens is the number of prompt tokens of all answered prompts, and
	// CompulsoryTokens is the part of them that even an ideal cache can't save.
	PromptTokens     int64
	CompulsoryTokens int64
	// Wall is the duration of the run.
	Wall time.Duration
	// FirstToken holds the times to the first token in microseconds.
	FirstToken *hdrhistogram.Histogram
	// ByAccount holds the results of accounts with answered prompts, by name.
	ByAccount []AccountResult
	// FailedKinds counts the final errors by kind, in order of kind.
	FailedKinds []KindCount
	// Notes describes single faults for a reader.
	Notes []string
}

// KindCount counts the final errors of one kind.
type KindCount struct {
	Kind  string
	Count int
}

// AccountResult holds the measurements of one account's prompts.
type AccountResult struct {
	Account  string
	Answered int
	// Costs holds the cost of each answer in order of completion.
	Costs []AnswerCost
	// FirstToken holds the times to the first token in microseconds.
	FirstToken *hdrhistogram.Histogram
}

// AnswerCost is the cost of one answer: the prompt tokens that were not cached
// plus the generated tokens.
type AnswerCost struct {
	// At is the time of completion, from the start of the run.
	At     time.Duration
	Tokens int
}

// Runner sends the requests of a workload to instances and verifies the answers.
// It can be run once.
type Runner struct {
	Workload Workload
	Balancer *Balancer
	// RunCounts is used to check how often requests ran. If nil, that is not
	// checked.
	RunCounts RunCounts
	// Progress, if not nil, is called whenever a planned request ends, with the
	// number of ended and of all planned requests. Calls may be concurrent.
	Progress func(done, total int)

	client  *client
	done    atomic.Int64
	started time.Time

	mu          sync.Mutex
	result      Result
	accounts    map[string]*AccountResult
	failedKinds map[string]int
	// refusedRequests holds the IDs of requests refused as not run, answeredJobs
	// the jobs whose receipt was received, and sentJobs all jobs of started calls.
	refusedRequests []string
	answeredJobs    []string
	sentJobs        []string
}

// Run sends each request at its planned time and returns when all have ended. If
// ctx is done, it sends no further ones.
func (r *Runner) Run(ctx context.Context) Result {
	r.client = newClient()
	defer r.client.close()
	r.accounts = make(map[string]*AccountResult)
	r.failedKinds = make(map[string]int)
	r.result.FirstToken = newHistogram()
	plan := Plan(r.Workload)
	r.result.Requests = len(plan)
	for _, request := range plan {
		if request.Call != nil && request.Call.IsDuplicated {
			r.result.Requests++
		}
	}
	started := time.Now()
	r.started = started
	var wg sync.WaitGroup
	for _, request := range plan {
		if !sleepUntil(ctx, started.Add(request.At)) {
			break
		}
		wg.Go(func() {
			r.send(ctx, request)
			if r.Progress != nil {
				r.Progress(int(r.done.Add(1)), len(plan))
			}
		})
	}
	wg.Wait()
	r.result.Wall = time.Since(started)
	r.checkExecutions()
	return r.result
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

// sleepUntil waits until t. It reports false if ctx was done first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	return loomkernel.Sleep(ctx, time.Until(t)) == nil
}

// send sends a request with retries and records its outcome.
func (r *Runner) send(ctx context.Context, q Request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if q.Prompt != nil {
		r.sendPrompt(ctx, q)
		return
	}
	r.mu.Lock()
	r.sentJobs = append(r.sentJobs, q.Call.Job)
	r.mu.Unlock()
	if q.Call.Ticket {
		ticket, ok := r.fetchTicket(ctx, q.Account.Key)
		if !ok {
			r.recordFailure(q, reply{}, nil)
			return
		}
		call := *q.Call
		call.Key = ticket
		q.Call = &call
	}
	if !q.Call.IsDuplicated {
		r.sendCall(ctx, q)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.sendCall(ctx, q) })
	r.sendCall(ctx, q)
	wg.Wait()
}

// maxAttempts returns the maximum number of attempts for a request.
func (r *Runner) maxAttempts() int {
	if r.Workload.MaxAttempts > 0 {
		return r.Workload.MaxAttempts
	}
	return defaultAttempts
}

// fetchTicket fetches a ticket from a ready instance, with retries.
func (r *Runner) fetchTicket(ctx context.Context, key string) (string, bool) {
	for range r.maxAttempts() {
		if address, ok := r.Balancer.Pick(); ok {
			if ticket, err := r.client.fetchTicket(ctx, address, key); err == nil {
				return ticket, true
			}
		}
		if !sleepUntil(ctx, time.Now().Add(retryDelay)) {
			break
		}
	}
	return "", false
}

// sendPrompt sends a prompt and records the outcome. It retries after any failure,
// because running a prompt twice has no effect but its cost.
func (r *Runner) sendPrompt(ctx context.Context, q Request) {
	var last reply
	var err error
	for range r.maxAttempts() {
		address, ok := r.Balancer.Pick()
		if ok {
			last, err = r.client.sendPrompt(ctx, address, q.Account.Key, r.Workload.Model, q.Prompt)
			r.recordRefusal(last)
			if err == nil && last.status == http.StatusOK && last.failure.Kind == "" {
				r.recordPromptAnswer(q, last)
				return
			}
		}
		if !sleepUntil(ctx, time.Now().Add(retryDelay)) {
			break
		}
	}
	r.recordFailure(q, last, err)
}

// recordPromptAnswer verifies and records the answer to a prompt.
func (r *Runner) recordPromptAnswer(q Request, a reply) {
	problem := r.checkAnswer(q, a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if problem != "" {
		r.result.WrongAnswers++
		r.result.Notes = append(r.result.Notes, fmt.Sprintf("request %s: %s", a.requestID, problem))
		return
	}
	r.result.Answered++
	r.result.PromptTokens += int64(q.Prompt.Tokens)
	r.result.CompulsoryTokens += int64(q.Prompt.NewTokens)
	_ = r.result.FirstToken.RecordValue(a.firstToken.Microseconds())
	account, ok := r.accounts[q.Account.Name]
	if !ok {
		account = &AccountResult{Account: q.Account.Name, FirstToken: newHistogram()}
		r.accounts[q.Account.Name] = account
	}
	account.Answered++
	account.Costs = append(account.Costs, AnswerCost{At: time.Since(r.started), Tokens: q.Prompt.Tokens - a.cached + a.tokens})
	_ = account.FirstToken.RecordValue(a.firstToken.Microseconds())
}

// checkAnswer compares an answer with the tokens that the stand-in engine generates
// for the prompt under the weight version that the answer names. It returns a
// description of the difference, or an empty string.
func (r *Runner) checkAnswer(q Request, a reply) string {
	if !a.isComplete {
		return "the stream ended before the token usage was received"
	}
	var version uint64
	if _, err := fmt.Sscanf(a.fingerprint, "v%d", &version); err != nil {
		return fmt.Sprintf("the system fingerprint is %q, want v and a version number", a.fingerprint)
	}
	salt := loomcache.Salt{ClientAccount: q.Account.Name, Model: r.Workload.Model, Version: version}
	want := loomstandin.ExpectedAnswer(salt, loomcache.Tokenize(q.Prompt.Text), q.Prompt.MaxTokens)
	words := strings.Fields(a.text)
	if len(words) != len(want) || a.tokens != len(want) {
		return fmt.Sprintf("got %d tokens, want %d; the usage reports %d", len(words), len(want), a.tokens)
	}
	for i, w := range words {
		if w != fmt.Sprintf("t%08x", want[i]) {
			return fmt.Sprintf("token %d of version %d: got %q, want t%08x", i, version, w, want[i])
		}
	}
	return ""
}

// sendCall makes a service call and records the outcome. It retries only if that
// can't run the job twice: if the call has an idempotency key, or after an error
// that promises that the call did not run.
func (r *Runner) sendCall(ctx context.Context, q Request) {
	var last reply
	var err error
	for range r.maxAttempts() {
		address, ok := r.Balancer.Pick()
		if ok {
			last, err = r.client.sendCall(ctx, address, q.Account.Key, r.Workload.Service, q.Call)
			r.recordRefusal(last)
			if err == nil && last.status == http.StatusOK {
				r.recordCallAnswer(q, last)
				return
			}
			if q.Call.Key == "" && (err != nil || !last.failure.notRun()) {
				break
			}
		}
		delay := retryDelay/2 + retryDelay*time.Duration(q.Number%jitterSteps)/jitterSteps
		if !sleepUntil(ctx, time.Now().Add(delay)) {
			break
		}
	}
	r.recordFailure(q, last, err)
}

// recordCallAnswer verifies and records the receipt of a service call.
func (r *Runner) recordCallAnswer(q Request, a reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.text != q.Call.Job {
		r.result.WrongAnswers++
		r.result.Notes = append(r.result.Notes, fmt.Sprintf("request %s: got the receipt of job %q, want %q", a.requestID, a.text, q.Call.Job))
		return
	}
	r.result.Answered++
	r.answeredJobs = append(r.answeredJobs, q.Call.Job)
}

// recordRefusal records the ID of a request that was refused with the promise that
// it did not run, for a later check of the promise.
func (r *Runner) recordRefusal(a reply) {
	if !a.failure.notRun() || a.failure.RequestID == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedRequests = append(r.refusedRequests, a.failure.RequestID)
}

// recordFailure counts a request that was not answered, by its last reply and
// error. A reply without a status and an error means that no instance was ready or
// that no ticket could be fetched.
func (r *Runner) recordFailure(q Request, a reply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := a.failure.Kind
	switch {
	case err == nil && a.status == 0:
		r.result.RefusedNotRun++
		kind = "no_instance"
	case err == nil && a.failure.notRun():
		r.result.RefusedNotRun++
	case err == nil && kind != "":
		r.result.Failed++
	case err != nil:
		r.result.Failed++
		kind = "connection"
		if q.Prompt != nil {
			r.result.Notes = append(r.result.Notes, fmt.Sprintf("request %d: %s", q.Number, err))
		}
	default:
		r.result.Lost++
		kind = "no_answer"
	}
	r.failedKinds[kind]++
}

// checkExecutions completes the result. It sorts the counts and, if RunCounts is
// set, compares the responses to callers with what really ran.
func (r *Runner) checkExecutions() {
	for _, name := range slices.Sorted(maps.Keys(r.accounts)) {
		r.result.ByAccount = append(r.result.ByAccount, *r.accounts[name])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.failedKinds)) {
		r.result.FailedKinds = append(r.result.FailedKinds, KindCount{Kind: kind, Count: r.failedKinds[kind]})
	}
	if r.RunCounts == nil {
		return
	}
	for _, job := range r.sentJobs {
		if n := r.RunCounts.JobRuns(job); n > 1 {
			r.result.DoubleRuns++
			r.result.Notes = append(r.result.Notes, fmt.Sprintf("job %s ran %d times", job, n))
		}
	}
	for _, job := range r.answeredJobs {
		if r.RunCounts.JobRuns(job) == 0 {
			r.result.Lost++
			r.result.Notes = append(r.result.Notes, fmt.Sprintf("job %s has a receipt but did not run", job))
		}
	}
	for _, id := range r.refusedRequests {
		if n := r.RunCounts.RequestRuns(id); n > 0 {
			r.result.FalseNotRun++
			r.result.Notes = append(r.result.Notes, fmt.Sprintf("request %s was refused as not run but ran %d times", id, n))
		}
	}
}
