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
	defaultTries    = 6
	retryPause      = 300 * time.Millisecond
	requestPatience = 30 * time.Second
	readyInterval   = 150 * time.Millisecond
	readyTimeout    = 300 * time.Millisecond
	highestLatency  = int64(time.Minute / time.Microsecond)
	precision       = 3
	// jitterSteps spreads the pauses of requests that failed together.
	jitterSteps = 16
)

// Balancer tells which instances take requests. It stands in for the
// platform's balancer: it asks for readiness from time to time.
type Balancer struct {
	client *http.Client

	mu        sync.Mutex
	addresses []string
	ready     []string
	next      atomic.Uint64
}

// NewBalancer returns a balancer over addresses.
func NewBalancer(addresses []string) *Balancer {
	return &Balancer{client: &http.Client{Timeout: readyTimeout}, addresses: addresses, ready: addresses}
}

// SetAddresses replaces the addresses.
func (b *Balancer) SetAddresses(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = slices.Clone(addresses)
}

// Run asks for readiness until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		b.check(ctx)
		select {
		case <-ctx.Done():
			b.client.CloseIdleConnections()
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) check(ctx context.Context) {
	b.mu.Lock()
	addresses := slices.Clone(b.addresses)
	b.mu.Unlock()
	ok := make([]bool, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() { ok[i] = b.isReady(ctx, address) })
	}
	wait.Wait()
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

// WaitReady waits until an instance takes requests.
func (b *Balancer) WaitReady(ctx context.Context, d time.Duration) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		if b.check(ctx); b.Ready() > 0 {
			return true
		}
		if !sleepUntil(ctx, time.Now().Add(readyInterval)) {
			return false
		}
	}
	return false
}

// Ready returns the number of instances that take requests.
func (b *Balancer) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Pick returns an instance, in turn.
func (b *Balancer) Pick() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[int(b.next.Add(1))%len(b.ready)], true
}

// Effects tells how often something ran. Stand-ins in the same process
// implement it; without them nothing is known.
type Effects interface {
	// JobRuns returns how often a job of a service ran.
	JobRuns(job string) int
	// RequestRuns returns how often a request ran at any upstream.
	RequestRuns(requestID string) int
}

// Result is what a run measured.
type Result struct {
	Requests         int
	Answered         int
	RefusedNotRun    int
	Failed           int
	WrongAnswers     int
	DoubleRuns       int
	Lost             int
	FalseNotRun      int
	PromptTokens     int64
	CompulsoryTokens int64
	Wall             time.Duration
	FirstToken       *hdrhistogram.Histogram
	ByAccount        []AccountResult
	// FailedKinds counts the final errors by kind, in order of kind.
	FailedKinds []KindCount
	Notes       []string
}

// KindCount counts the final errors of one kind.
type KindCount struct {
	Kind  string
	Count int
}

// AccountResult is what a run measured for one account.
type AccountResult struct {
	Account  string
	Answered int
	// Spending lists what each answer cost, in order of its end.
	Spending   []Spending
	FirstToken *hdrhistogram.Histogram
}

// Spending is the cost of one answer, in tokens recomputed and generated.
type Spending struct {
	At     time.Duration
	Tokens int
}

// Runner plays a plan.
type Runner struct {
	Mix      Mix
	Balancer *Balancer
	// Effects is nil when the effects can't be seen.
	Effects Effects
	// Progress is called now and then with the number of ended requests.
	Progress func(done, total int)

	client  *client
	done    atomic.Int64
	started time.Time

	mu       sync.Mutex
	result   Result
	accounts map[string]*AccountResult
	kinds    map[string]int
	refused  []string
	acked    []string
	jobs     []string
}

// Run plays the plan and returns when every request has ended.
func (r *Runner) Run(ctx context.Context) Result {
	r.client = newClient()
	defer r.client.close()
	r.accounts = make(map[string]*AccountResult)
	r.kinds = make(map[string]int)
	r.result.FirstToken = newHistogram()
	plan := Plan(r.Mix)
	r.result.Requests = len(plan)
	for _, request := range plan {
		if request.Call != nil && request.Call.Twin {
			r.result.Requests++
		}
	}
	started := time.Now()
	r.started = started
	var wait sync.WaitGroup
	for _, request := range plan {
		if !sleepUntil(ctx, started.Add(request.At)) {
			break
		}
		wait.Go(func() {
			r.play(ctx, request)
			if r.Progress != nil {
				r.Progress(int(r.done.Add(1)), len(plan))
			}
		})
	}
	wait.Wait()
	r.result.Wall = time.Since(started)
	r.judge()
	return r.result
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, precision)
}

// sleepUntil waits until t and reports whether ctx lasted.
func sleepUntil(ctx context.Context, t time.Time) bool {
	return loomkernel.Sleep(ctx, time.Until(t)) == nil
}

func (r *Runner) play(ctx context.Context, q Request) {
	ctx, cancel := context.WithTimeout(ctx, requestPatience)
	defer cancel()
	if q.Prompt != nil {
		r.playPrompt(ctx, q)
		return
	}
	r.mu.Lock()
	r.jobs = append(r.jobs, q.Call.Job)
	r.mu.Unlock()
	if q.Call.Ticket {
		ticket, ok := r.fetchTicket(ctx, q.Account.Key)
		if !ok {
			r.ended(q, reply{}, nil)
			return
		}
		call := *q.Call
		call.Key = ticket
		q.Call = &call
	}
	if !q.Call.Twin {
		r.playCall(ctx, q)
		return
	}
	var wait sync.WaitGroup
	wait.Go(func() { r.playCall(ctx, q) })
	r.playCall(ctx, q)
	wait.Wait()
}

func (r *Runner) tries() int {
	if r.Mix.Tries > 0 {
		return r.Mix.Tries
	}
	return defaultTries
}

// fetchTicket asks instances in turn for a ticket.
func (r *Runner) fetchTicket(ctx context.Context, key string) (string, bool) {
	for range r.tries() {
		if address, ok := r.Balancer.Pick(); ok {
			if ticket, err := r.client.ticket(ctx, address, key); err == nil {
				return ticket, true
			}
		}
		if !sleepUntil(ctx, time.Now().Add(retryPause)) {
			break
		}
	}
	return "", false
}

// playPrompt sends a prompt, and again when it failed: a prompt may run twice.
func (r *Runner) playPrompt(ctx context.Context, q Request) {
	var last reply
	var err error
	for range r.tries() {
		address, ok := r.Balancer.Pick()
		if ok {
			last, err = r.client.prompt(ctx, address, q.Account.Key, r.Mix.Model, q.Prompt)
			r.noteRefusal(last)
			if err == nil && last.status == http.StatusOK && last.fault.Kind == "" {
				r.promptAnswered(q, last)
				return
			}
		}
		if !sleepUntil(ctx, time.Now().Add(retryPause)) {
			break
		}
	}
	r.ended(q, last, err)
}

func (r *Runner) promptAnswered(q Request, a reply) {
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
	r.result.CompulsoryTokens += int64(q.Prompt.Fresh)
	_ = r.result.FirstToken.RecordValue(a.firstToken.Microseconds())
	account, ok := r.accounts[q.Account.Name]
	if !ok {
		account = &AccountResult{Account: q.Account.Name, FirstToken: newHistogram()}
		r.accounts[q.Account.Name] = account
	}
	account.Answered++
	account.Spending = append(account.Spending, Spending{At: time.Since(r.started), Tokens: q.Prompt.Tokens - a.cached + a.tokens})
	_ = account.FirstToken.RecordValue(a.firstToken.Microseconds())
}

// checkAnswer returns what is wrong with an answer, or nothing.
func (r *Runner) checkAnswer(q Request, a reply) string {
	if !a.whole {
		return "the stream ended without its end"
	}
	var version uint64
	if _, err := fmt.Sscanf(a.fingerprint, "v%d", &version); err != nil {
		return "the answer names no version"
	}
	salt := loomcache.Salt{ClientAccount: q.Account.Name, Model: r.Mix.Model, Version: version}
	want := loomstandin.ExpectedAnswer(salt, loomcache.Tokenize(q.Prompt.Text), q.Prompt.MaxTokens)
	words := strings.Fields(a.text)
	if len(words) != len(want) || a.tokens != len(want) {
		return fmt.Sprintf("%d tokens of %d, told as %d", len(words), len(want), a.tokens)
	}
	for i, w := range words {
		if w != fmt.Sprintf("t%08x", want[i]) {
			return fmt.Sprintf("token %d of version %d is wrong", i, version)
		}
	}
	return ""
}

// playCall makes a service call, and again when that is safe: under its key,
// or after an answer that promises that it did not run.
func (r *Runner) playCall(ctx context.Context, q Request) {
	var last reply
	var err error
	for range r.tries() {
		address, ok := r.Balancer.Pick()
		if ok {
			last, err = r.client.call(ctx, address, q.Account.Key, r.Mix.Service, q.Call)
			r.noteRefusal(last)
			if err == nil && last.status == http.StatusOK {
				r.callAnswered(q, last)
				return
			}
			if q.Call.Key == "" && (err != nil || !last.fault.notRun()) {
				break
			}
		}
		pause := retryPause/2 + retryPause*time.Duration(q.Number%jitterSteps)/jitterSteps
		if !sleepUntil(ctx, time.Now().Add(pause)) {
			break
		}
	}
	r.ended(q, last, err)
}

func (r *Runner) callAnswered(q Request, a reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.text != q.Call.Job {
		r.result.WrongAnswers++
		r.result.Notes = append(r.result.Notes, fmt.Sprintf("request %s: receipt of job %q in place of %q", a.requestID, a.text, q.Call.Job))
		return
	}
	r.result.Answered++
	r.acked = append(r.acked, q.Call.Job)
}

// noteRefusal keeps the identity of a request that was refused as not run.
func (r *Runner) noteRefusal(a reply) {
	if !a.fault.notRun() || a.fault.RequestID == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, a.fault.RequestID)
}

// ended counts a request that got no answer.
func (r *Runner) ended(q Request, a reply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := a.fault.Kind
	switch {
	case err == nil && a.status == 0:
		r.result.RefusedNotRun++
		kind = "no_instance"
	case err == nil && a.fault.notRun():
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
	r.kinds[kind]++
}

// judge compares what callers were told with what ran.
func (r *Runner) judge() {
	for _, name := range slices.Sorted(maps.Keys(r.accounts)) {
		r.result.ByAccount = append(r.result.ByAccount, *r.accounts[name])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.kinds)) {
		r.result.FailedKinds = append(r.result.FailedKinds, KindCount{Kind: kind, Count: r.kinds[kind]})
	}
	if r.Effects == nil {
		return
	}
	for _, job := range r.jobs {
		if n := r.Effects.JobRuns(job); n > 1 {
			r.result.DoubleRuns++
			r.result.Notes = append(r.result.Notes, fmt.Sprintf("job %s ran %d times", job, n))
		}
	}
	for _, job := range r.acked {
		if r.Effects.JobRuns(job) == 0 {
			r.result.Lost++
			r.result.Notes = append(r.result.Notes, fmt.Sprintf("job %s was answered and did not run", job))
		}
	}
	for _, id := range r.refused {
		if n := r.Effects.RequestRuns(id); n > 0 {
			r.result.FalseNotRun++
			r.result.Notes = append(r.result.Notes, fmt.Sprintf("request %s was refused as not run and ran %d times", id, n))
		}
	}
}
