package loominstance

import (
	"context"
	"crypto/subtle"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"swiftloom/loomcache"
	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

// peerKeyHeader is the metadata key of the deployment's peer key.
const peerKeyHeader = "loom-peer-key"

var errMalformedKey = status.Error(codes.InvalidArgument, "malformed block key")

// servePeers serves the calls of other instances until ctx ends.
func (n *Instance) servePeers(ctx context.Context) error {
	server := loomplatform.NewServer(grpc.UnaryInterceptor(n.authenticatePeer))
	loompb.RegisterPeerServer(server, &peerServer{instance: n})
	done := make(chan error, 1)
	go func() { done <- server.Serve(n.peerListener) }()
	select {
	case err := <-done:
		return err
	case <-n.killed:
	case <-ctx.Done():
	}
	server.Stop()
	return <-done
}

// authenticatePeer is a server interceptor that rejects calls without the
// deployment's peer key.
func (n *Instance) authenticatePeer(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	keys := md.Get(peerKeyHeader)
	want := []byte(n.settings.Deployment.PeerKey)
	if len(keys) != 1 || subtle.ConstantTimeCompare([]byte(keys[0]), want) != 1 {
		return nil, status.Error(codes.Unauthenticated, "missing or wrong peer key")
	}
	return handle(ctx, req)
}

// peerServer implements the gRPC service between instances.
type peerServer struct {
	loompb.UnimplementedPeerServer
	instance *Instance
}

// Lookup returns where the blocks of segments are cached or stored.
func (s *peerServer) Lookup(_ context.Context, r *loompb.LookupRequest) (*loompb.LookupReply, error) {
	reply := &loompb.LookupReply{}
	for _, segment := range r.GetSegments() {
		keys, ok := keysFromProto(segment.GetKeys())
		if !ok {
			return nil, errMalformedKey
		}
		reply.Segments = append(reply.Segments, s.instance.lookupLocally(time.Now(), r.GetClientAccount(), keys))
	}
	return reply, nil
}

// Observe records where the blocks of segments are cached, or that stored
// blocks could not be read.
func (s *peerServer) Observe(_ context.Context, r *loompb.ObserveRequest) (*loompb.ObserveReply, error) {
	for _, segment := range r.GetSegments() {
		keys, ok := keysFromProto(segment.GetKeys())
		if !ok {
			return nil, errMalformedKey
		}
		if r.GetImportFailed() {
			s.instance.dropFailedBlocks(r.GetSalt().GetClientAccount(), keys)
			continue
		}
		s.instance.observeLocally(time.Now(), loomcache.Observation{
			Salt:        saltFromProto(r.GetSalt()),
			Keys:        keys,
			Engine:      r.GetEngineId(),
			Incarnation: r.GetEngineIncarnation(),
			Event:       r.GetEvent(),
		}, r.GetEngineAddress())
		if retain := r.GetRetainMs(); retain > 0 {
			s.instance.index.Pin(keys[0], time.Now().Add(time.Duration(retain)*time.Millisecond))
		}
	}
	return &loompb.ObserveReply{}, nil
}

// Claim decides an idempotency claim.
func (s *peerServer) Claim(ctx context.Context, r *loompb.ClaimRequest) (*loompb.ClaimReply, error) {
	return s.instance.claims.claimLocally(ctx, r), nil
}

// Settle stores the answer of a granted attempt.
func (s *peerServer) Settle(_ context.Context, r *loompb.SettleRequest) (*loompb.SettleReply, error) {
	s.instance.claims.settleLocally(r)
	return &loompb.SettleReply{}, nil
}

// Spend grants tokens of an account's quota to the calling instance.
func (s *peerServer) Spend(_ context.Context, r *loompb.SpendRequest) (*loompb.SpendReply, error) {
	return s.instance.quotas.grant(time.Now(), r), nil
}

// Borrow lends parts of accounts' pools to the calling instance.
func (s *peerServer) Borrow(_ context.Context, r *loompb.BorrowRequest) (*loompb.BorrowReply, error) {
	return s.instance.quotas.pools.lend(time.Now(), r), nil
}

// Gossip exchanges member and catalogue state with the calling instance.
func (s *peerServer) Gossip(_ context.Context, r *loompb.GossipRequest) (*loompb.GossipReply, error) {
	return s.instance.answerGossip(time.Now(), r)
}

// keysFromProto returns block keys. The result is false if any key has the
// wrong length.
func keysFromProto(raw [][]byte) ([]loomcache.Key, bool) {
	keys := make([]loomcache.Key, 0, len(raw))
	for _, b := range raw {
		k, ok := loomcache.KeyFrom(b)
		if !ok {
			return nil, false
		}
		keys = append(keys, k)
	}
	return keys, true
}

func keysToProto(keys []loomcache.Key) [][]byte {
	raw := make([][]byte, 0, len(keys))
	for i := range keys {
		raw = append(raw, keys[i][:])
	}
	return raw
}

func saltFromProto(s *loompb.Salt) loomcache.Salt {
	return loomcache.Salt{
		ClientAccount:  s.GetClientAccount(),
		Model:          s.GetModel(),
		Adapter:        s.GetAdapter(),
		Version:        s.GetVersion(),
		AdapterVersion: s.GetAdapterVersion(),
	}
}

func saltToProto(s loomcache.Salt) *loompb.Salt {
	return &loompb.Salt{
		ClientAccount:  s.ClientAccount,
		Model:          s.Model,
		Adapter:        s.Adapter,
		Version:        s.Version,
		AdapterVersion: s.AdapterVersion,
	}
}
