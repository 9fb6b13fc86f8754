package loomstandin

import (
	"context"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"swiftloom/loompb"
)

const testBlockBytes = 64

func newTestStore(t *testing.T, o StoreOptions) *Store {
	o.ID = "s"
	if o.MemoryBytes == 0 {
		o.MemoryBytes = 4 * testBlockBytes
	}
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = 1 << 30
	}
	s, err := NewStore(o)
	assert.NilError(t, err)
	t.Cleanup(s.Kill)
	return s
}

func stage(t *testing.T, s *Store, key string) *loompb.StageReply {
	reply, err := s.Stage(t.Context(), &loompb.StageRequest{Key: []byte(key), Root: []byte(key), Length: testBlockBytes})
	assert.NilError(t, err)
	return reply
}

func write(ctx context.Context, s *Store, key string, generation uint64, offset int, data string) error {
	_, err := s.Write(ctx, &loompb.WriteRequest{Key: []byte(key), Generation: generation, Offset: uint32(offset), Data: []byte(data)})
	return err
}

func sealBlock(t *testing.T, s *Store, key, data string) *loompb.StageReply {
	staged := stage(t, s, key)
	chunkLen := len(data) / chunksPerBlock
	assert.NilError(t, write(t.Context(), s, key, staged.GetGeneration(), 0, data[:chunkLen]))
	assert.NilError(t, write(t.Context(), s, key, staged.GetGeneration(), chunkLen, data[chunkLen:]))
	reply, err := s.Seal(t.Context(), &loompb.SealRequest{Key: []byte(key), Generation: staged.GetGeneration(), Checksum: xxhash.Sum64String(data)})
	assert.NilError(t, err)
	assert.Assert(t, reply.GetSealed())
	return staged
}

func read(t *testing.T, s *Store, key string, staged *loompb.StageReply) *loompb.ReadReply {
	reply, err := s.Read(t.Context(), &loompb.ReadRequest{Key: []byte(key), Incarnation: staged.GetIncarnation(), Generation: staged.GetGeneration()})
	assert.NilError(t, err)
	return reply
}

func TestReadFindsOnlySealedBlocks(t *testing.T) {
	tests := []struct {
		name  string
		build func(t *testing.T, s *Store) *loompb.StageReply
		found bool
	}{
		{"absent", func(*testing.T, *Store) *loompb.StageReply { return &loompb.StageReply{Incarnation: 1, Generation: 1} }, false},
		{"staged", func(t *testing.T, s *Store) *loompb.StageReply { return stage(t, s, "k") }, false},
		{"partly written", func(t *testing.T, s *Store) *loompb.StageReply {
			staged := stage(t, s, "k")
			assert.NilError(t, write(t.Context(), s, "k", staged.GetGeneration(), 0, "half"))
			return staged
		}, false},
		{"partly written and sealed", func(t *testing.T, s *Store) *loompb.StageReply {
			staged := stage(t, s, "k")
			assert.NilError(t, write(t.Context(), s, "k", staged.GetGeneration(), 0, "half"))
			reply, err := s.Seal(t.Context(), &loompb.SealRequest{Key: []byte("k"), Generation: staged.GetGeneration(), Checksum: xxhash.Sum64String("half")})
			assert.NilError(t, err)
			assert.Assert(t, !reply.GetSealed())
			return staged
		}, false},
		{"sealed", func(t *testing.T, s *Store) *loompb.StageReply { return sealBlock(t, s, "k", "whole!") }, true},
		{"older generation", func(t *testing.T, s *Store) *loompb.StageReply {
			first := sealBlock(t, s, "k", "whole!")
			_, err := s.Free(t.Context(), &loompb.FreeRequest{Keys: [][]byte{[]byte("k")}, Generations: []uint64{first.GetGeneration()}})
			assert.NilError(t, err)
			sealBlock(t, s, "k", "other!")
			return first
		}, false},
		{"earlier incarnation at the same address", func(t *testing.T, s *Store) *loompb.StageReply {
			first := sealBlock(t, s, "k", "whole!")
			s.Kill()
			assert.NilError(t, s.Restart())
			second := sealBlock(t, s, "k", "other!")
			return &loompb.StageReply{Incarnation: first.GetIncarnation(), Generation: second.GetGeneration()}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestStore(t, StoreOptions{})
			staged := tt.build(t, s)
			assert.Equal(t, read(t, s, "k", staged).GetFound(), tt.found)
		})
	}
}

// A read that is in progress when its block is freed must not find the block,
// because its transfer ends after Free has returned.
func TestReadRacingFree(t *testing.T) {
	s := newTestStore(t, StoreOptions{BytesPerSecond: testBlockBytes * 20})
	s.SetRate(1 << 30)
	staged := sealBlock(t, s, "k", "whole!")
	s.SetRate(testBlockBytes * 20)
	found := make(chan bool)
	go func() { found <- read(t, s, "k", staged).GetFound() }()
	time.Sleep(10 * time.Millisecond)
	_, err := s.Free(t.Context(), &loompb.FreeRequest{Keys: [][]byte{[]byte("k")}, Generations: []uint64{staged.GetGeneration()}})
	assert.NilError(t, err)
	assert.Assert(t, !<-found)
}

func TestStageInFullStore(t *testing.T) {
	s := newTestStore(t, StoreOptions{MemoryBytes: 2 * testBlockBytes, DiskBytes: testBlockBytes, Quarantine: time.Hour})
	first := sealBlock(t, s, "1", "whole!")
	sealBlock(t, s, "2", "whole!")
	sealBlock(t, s, "3", "whole!")
	assert.Assert(t, stage(t, s, "4").GetFull())
	assert.Assert(t, read(t, s, "1", first).GetFound(), "the least recently used block must be kept on disk")
	_, err := s.Free(t.Context(), &loompb.FreeRequest{Keys: [][]byte{[]byte("2")}, Generations: []uint64{first.GetGeneration() + 1}})
	assert.NilError(t, err)
	assert.Assert(t, stage(t, s, "4").GetFull(), "freed space must not be reused during the quarantine")
	s.options.Quarantine = 0
	assert.Assert(t, !stage(t, s, "4").GetFull())
}

func TestListReturnsChanges(t *testing.T) {
	s := newTestStore(t, StoreOptions{})
	sealBlock(t, s, "1", "whole!")
	second := sealBlock(t, s, "2", "whole!")
	stage(t, s, "3")
	all, err := s.List(t.Context(), &loompb.ListRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(all.GetBlocks()), 2)
	_, err = s.Free(t.Context(), &loompb.FreeRequest{Keys: [][]byte{[]byte("2")}, Generations: []uint64{second.GetGeneration()}})
	assert.NilError(t, err)
	delta, err := s.List(t.Context(), &loompb.ListRequest{After: all.GetLast()})
	assert.NilError(t, err)
	assert.Equal(t, len(delta.GetBlocks()), 1)
	assert.Assert(t, delta.GetBlocks()[0].GetFreed())
}
