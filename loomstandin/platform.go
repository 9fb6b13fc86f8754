package loomstandin

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"swiftloom/loompb"
)

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	defaultListLag         = 300 * time.Millisecond
	memberTTL              = 1200 * time.Millisecond
	defaultLoadTime        = 400 * time.Millisecond
)

// PlatformOptions sets up a platform. Zero fields take defaults.
type PlatformOptions struct {
	Address         string
	Seed            uint64
	WritesPerSecond int
	ReadsPerSecond  int
	// ListLag is how late the list of members is.
	ListLag time.Duration
	// LoadTime is how long new weights take one runner; LoadLimit is how many
	// runners may load at once without slowing each other down.
	LoadTime  time.Duration
	LoadLimit int
}

// PlatformFaults are the faults of a platform; the zero value has none.
type PlatformFaults struct {
	// Outage refuses every call.
	Outage bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseReplies is the part of writes whose reply is lost after the effect.
	LoseReplies float64
}

// Platform stands in for the platform's service.
type Platform struct {
	loompb.UnimplementedPlatformServer
	process

	options PlatformOptions
	table   Table
	writes  *rate.Limiter
	reads   *rate.Limiter
	members *directory

	mu      sync.Mutex
	faults  PlatformFaults
	outages int
	random  *rand.Rand
	objects map[string][]byte
	loading int
	// mostLoading is the highest number of runners that loaded at once.
	mostLoading int
}

// NewPlatform starts a platform.
func NewPlatform(o PlatformOptions) (*Platform, error) {
	o = platformDefaults(o)
	p := &Platform{
		options: o,
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WritesPerSecond/10+1),
		reads:   rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond/10+1),
		members: newDirectory(o.ListLag),
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		objects: make(map[string][]byte),
	}
	p.register = func(s *grpc.Server) { loompb.RegisterPlatformServer(s, p) }
	return p, p.start(o.Address)
}

func platformDefaults(o PlatformOptions) PlatformOptions {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = defaultWritesPerSecond
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = defaultReadsPerSecond
	}
	if o.ListLag == 0 {
		o.ListLag = defaultListLag
	}
	if o.LoadTime == 0 {
		o.LoadTime = defaultLoadTime
	}
	if o.LoadLimit == 0 {
		o.LoadLimit = 2
	}
	return o
}

// Address returns the address of the platform.
func (p *Platform) Address() string {
	address, _ := p.identity()
	return address
}

// Close ends the platform.
func (p *Platform) Close() {
	p.kill()
}

// AddFaults switches faults on with sign 1 and off with sign -1. Faults that
// are switched on twice stay until they are switched off twice.
func (p *Platform) AddFaults(f PlatformFaults, sign int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Outage {
		p.outages += sign
	}
	p.faults.Outage = p.outages > 0
	p.faults.Delay += time.Duration(sign) * f.Delay
	p.faults.LoseReplies += float64(sign) * f.LoseReplies
}

// Faults returns the faults in force.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Use returns the use of the table.
func (p *Platform) Use() TableUse {
	return p.table.Use()
}

// MostLoading returns the highest number of runners that loaded at once.
func (p *Platform) MostLoading() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mostLoading
}

// admit applies the faults before the effect of a call.
func (p *Platform) admit(ctx context.Context, l *rate.Limiter) error {
	f := p.Faults()
	if f.Outage {
		return status.Error(codes.Unavailable, "platform outage")
	}
	if err := sleep(ctx, f.Delay); err != nil {
		return status.FromContextError(err).Err()
	}
	if l == nil {
		return nil
	}
	if err := l.Wait(ctx); err != nil {
		return status.Error(codes.ResourceExhausted, "platform is over its rate")
	}
	return nil
}

// losesReply draws whether a reply is lost after its effect.
func (p *Platform) losesReply() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseReplies > 0.001 && p.random.Float64() < p.faults.LoseReplies {
		return status.Error(codes.Unavailable, "connection lost")
	}
	return nil
}

// Transact implements the platform's table.
func (p *Platform) Transact(ctx context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error) {
	if err := p.admit(ctx, p.writes); err != nil {
		return nil, err
	}
	reply := p.table.Transact(r)
	if err := p.losesReply(); err != nil {
		return nil, err
	}
	return reply, nil
}

// ReadRows implements the platform's table.
func (p *Platform) ReadRows(ctx context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error) {
	if err := p.admit(ctx, p.reads); err != nil {
		return nil, err
	}
	return p.table.ReadRows(r), nil
}

// PutObject implements the platform's object store.
func (p *Platform) PutObject(ctx context.Context, r *loompb.PutObjectRequest) (*loompb.PutObjectReply, error) {
	if err := p.admit(ctx, p.writes); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.objects[r.GetName()] = slices.Clone(r.GetData())
	p.mu.Unlock()
	if err := p.losesReply(); err != nil {
		return nil, err
	}
	return &loompb.PutObjectReply{}, nil
}

// GetObject implements the platform's object store.
func (p *Platform) GetObject(ctx context.Context, r *loompb.GetObjectRequest) (*loompb.GetObjectReply, error) {
	if err := p.admit(ctx, p.reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[r.GetName()]
	return &loompb.GetObjectReply{Found: ok, Data: data}, nil
}

// Announce implements the platform's list of members.
func (p *Platform) Announce(ctx context.Context, r *loompb.AnnounceRequest) (*loompb.AnnounceReply, error) {
	if err := p.admit(ctx, nil); err != nil {
		return nil, err
	}
	p.members.announce(time.Now(), r.GetMember())
	return &loompb.AnnounceReply{}, nil
}

// Members implements the platform's list of members.
func (p *Platform) Members(ctx context.Context, r *loompb.MembersRequest) (*loompb.MembersReply, error) {
	if err := p.admit(ctx, p.reads); err != nil {
		return nil, err
	}
	return p.members.list(time.Now(), r.GetAfter()), nil
}

// FetchWeights implements the weight store. It answers when the weights have
// been read; more readers than the limit slow each other down.
func (p *Platform) FetchWeights(ctx context.Context, _ *loompb.FetchWeightsRequest) (*loompb.FetchWeightsReply, error) {
	if err := p.admit(ctx, nil); err != nil {
		return nil, err
	}
	d := p.beginLoad()
	defer p.endLoad()
	if err := sleep(ctx, d); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return &loompb.FetchWeightsReply{Found: true}, nil
}

func (p *Platform) beginLoad() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loading++
	p.mostLoading = max(p.mostLoading, p.loading)
	d := p.options.LoadTime
	if p.loading > p.options.LoadLimit {
		d = d * time.Duration(p.loading) / time.Duration(p.options.LoadLimit)
	}
	return d
}

func (p *Platform) endLoad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loading--
}
