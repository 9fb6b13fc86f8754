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

// PlatformOptions configures a Platform. Zero fields select defaults, except for
// Seed. The rates are those of the metadata table and the object store.
type PlatformOptions struct {
	Address         string
	Seed            uint64
	WritesPerSecond int
	ReadsPerSecond  int
	// ListLag is the delay until a change appears in the list of members.
	ListLag time.Duration
	// LoadTime is how long one runner takes to load weights. LoadLimit is how
	// many runners can load concurrently without slowing each other down.
	LoadTime  time.Duration
	LoadLimit int
}

// PlatformFaults describes injected faults. The zero value injects none.
type PlatformFaults struct {
	// Outage fails every call.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// ReplyLossRate is the fraction of writes, from 0 to 1, that take effect but
	// whose reply is lost.
	ReplyLossRate float64
}

// Platform is a stand-in for the platform: its metadata table, object store, list
// of members and weight store. Its methods may be called concurrently.
type Platform struct {
	loompb.UnimplementedPlatformServer
	process

	options PlatformOptions
	table   Table
	writes  *rate.Limiter
	reads   *rate.Limiter
	members *memberDirectory

	mu     sync.Mutex
	faults PlatformFaults
	// outageCount is the number of outages that are switched on.
	outageCount int
	rng         *rand.Rand
	objects     map[string][]byte
	// loading is the number of runners that load weights now.
	loading int
	// maxLoading is the highest value of loading so far.
	maxLoading int
}

// NewPlatform starts a platform. The caller must end it with Close.
func NewPlatform(o PlatformOptions) (*Platform, error) {
	o = platformDefaults(o)
	p := &Platform{
		options: o,
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WritesPerSecond/10+1),
		reads:   rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond/10+1),
		members: newMemberDirectory(o.ListLag),
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
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

// Address returns the address that the platform listens on.
func (p *Platform) Address() string {
	address, _ := p.identity()
	return address
}

// Close stops the platform and closes all connections.
func (p *Platform) Close() {
	p.kill()
}

// AddFaults switches faults on if sign is 1 and off if it is -1. Faults add up,
// so that overlapping faults can be switched off independently: an outage that
// was switched on twice lasts until it is switched off twice.
func (p *Platform) AddFaults(f PlatformFaults, sign int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Outage {
		p.outageCount += sign
	}
	p.faults.Outage = p.outageCount > 0
	p.faults.Delay += time.Duration(sign) * f.Delay
	p.faults.ReplyLossRate += float64(sign) * f.ReplyLossRate
}

// Faults returns the sum of the faults that are switched on.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// TableStats returns the usage counts of the metadata table.
func (p *Platform) TableStats() TableStats {
	return p.table.Stats()
}

// MaxConcurrentLoads returns the highest number of runners that have loaded
// weights concurrently.
func (p *Platform) MaxConcurrentLoads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxLoading
}

// admit applies outage, delay and rate limit to a call before it takes effect. A
// nil limiter means no rate limit.
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
		return status.Error(codes.ResourceExhausted, "platform rate limit exceeded")
	}
	return nil
}

// maybeLoseReply returns an error for the fraction of calls whose reply is lost.
// It is called after the call has taken effect.
func (p *Platform) maybeLoseReply() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.ReplyLossRate > 0.001 && p.rng.Float64() < p.faults.ReplyLossRate {
		return status.Error(codes.Unavailable, "connection lost")
	}
	return nil
}

// Transact implements loompb.PlatformServer. It runs a transaction on the
// metadata table.
func (p *Platform) Transact(ctx context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error) {
	if err := p.admit(ctx, p.writes); err != nil {
		return nil, err
	}
	reply := p.table.Transact(r)
	if err := p.maybeLoseReply(); err != nil {
		return nil, err
	}
	return reply, nil
}

// ReadRows implements loompb.PlatformServer. It reads rows of the metadata table.
func (p *Platform) ReadRows(ctx context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error) {
	if err := p.admit(ctx, p.reads); err != nil {
		return nil, err
	}
	return p.table.ReadRows(r), nil
}

// PutObject implements loompb.PlatformServer. It stores an object and replaces
// one of the same name.
func (p *Platform) PutObject(ctx context.Context, r *loompb.PutObjectRequest) (*loompb.PutObjectReply, error) {
	if err := p.admit(ctx, p.writes); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.objects[r.GetName()] = slices.Clone(r.GetData())
	p.mu.Unlock()
	if err := p.maybeLoseReply(); err != nil {
		return nil, err
	}
	return &loompb.PutObjectReply{}, nil
}

// GetObject implements loompb.PlatformServer.
func (p *Platform) GetObject(ctx context.Context, r *loompb.GetObjectRequest) (*loompb.GetObjectReply, error) {
	if err := p.admit(ctx, p.reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[r.GetName()]
	return &loompb.GetObjectReply{Found: ok, Data: data}, nil
}

// Announce implements loompb.PlatformServer. It adds a member to the list or
// renews it.
func (p *Platform) Announce(ctx context.Context, r *loompb.AnnounceRequest) (*loompb.AnnounceReply, error) {
	if err := p.admit(ctx, nil); err != nil {
		return nil, err
	}
	p.members.announce(time.Now(), r.GetMember())
	return &loompb.AnnounceReply{}, nil
}

// Members implements loompb.PlatformServer. It returns the changes of the list of
// members since a revision.
func (p *Platform) Members(ctx context.Context, r *loompb.MembersRequest) (*loompb.MembersReply, error) {
	if err := p.admit(ctx, p.reads); err != nil {
		return nil, err
	}
	return p.members.list(time.Now(), r.GetAfter()), nil
}

// FetchWeights implements loompb.PlatformServer. It returns after the time that
// loading the weights takes and finds every version.
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

// beginLoad counts a load and returns its duration. While there are more than
// LoadLimit concurrent loads, the duration grows in proportion to their number.
func (p *Platform) beginLoad() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loading++
	p.maxLoading = max(p.maxLoading, p.loading)
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
