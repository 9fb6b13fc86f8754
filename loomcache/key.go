package loomcache

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"strings"
)

const (
	// BlockTokens is the number of tokens in a block of the KV cache.
	BlockTokens = 64
	// KeyBytes is the length of a block key in bytes.
	KeyBytes = 16
	// firstSegmentBlocks is the number of blocks in the first segment of a
	// prompt. Each further segment ends at segmentGrowth times the depth of the
	// one before.
	firstSegmentBlocks = 4
	segmentGrowth      = 4
)

// Key identifies the KV cache of a block. It is a truncated hash over the salt
// and all tokens of the prompt up to the end of the block, so that equal tokens
// of different accounts, models, adapters or versions have different keys.
type Key [KeyBytes]byte

// String returns the key in hexadecimal.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// KeyFrom converts b to a key. It returns false if the length of b is not
// KeyBytes.
func KeyFrom(b []byte) (Key, bool) {
	if len(b) != KeyBytes {
		return Key{}, false
	}
	return Key(b), true
}

// Salt isolates KV caches that must not be shared. All fields are part of every
// block key.
type Salt struct {
	ClientAccount  string
	Model          string
	Adapter        string
	Version        uint64
	AdapterVersion uint64
}

// String returns the cache salt that is sent to engines. Names contain no slash,
// so different salts have different strings.
func (s Salt) String() string {
	var b strings.Builder
	for _, part := range []string{s.ClientAccount, s.Model, s.Adapter} {
		b.WriteString(part)
		b.WriteByte('/')
	}
	b.WriteString(hex.EncodeToString(binary.BigEndian.AppendUint64(nil, s.Version)))
	b.WriteString(hex.EncodeToString(binary.BigEndian.AppendUint64(nil, s.AdapterVersion)))
	return b.String()
}

// Chain returns the keys of the full blocks of tokens, in order. Each key depends
// on the key before it; the remaining tokens of a partial block have none.
func Chain(s Salt, tokens []uint32) []Key {
	previous := sha256.Sum256([]byte(s.String()))
	keys := make([]Key, 0, len(tokens)/BlockTokens)
	var buf [sha256.Size + 4*BlockTokens]byte
	for len(tokens) >= BlockTokens {
		copy(buf[:], previous[:])
		for i, t := range tokens[:BlockTokens] {
			binary.LittleEndian.PutUint32(buf[sha256.Size+4*i:], t)
		}
		previous = sha256.Sum256(buf[:])
		keys = append(keys, Key(previous[:KeyBytes]))
		tokens = tokens[BlockTokens:]
	}
	return keys
}

// Segments splits the keys of a prompt at fixed depths, each segmentGrowth times
// the one before. A segment is owned by the instance that owns its first key.
// Prompts with a common prefix thus share the owners of the segments within it,
// while their other segments are spread over all instances.
func Segments(keys []Key) [][]Key {
	var segments [][]Key
	start := 0
	for depth := firstSegmentBlocks; start < len(keys); depth *= segmentGrowth {
		end := min(depth, len(keys))
		segments = append(segments, keys[start:end])
		start = end
	}
	return segments
}

// Tokenize splits text at white space and returns the 32-bit FNV-1a hash of each
// word as its token.
func Tokenize(text string) []uint32 {
	words := strings.Fields(text)
	tokens := make([]uint32, 0, len(words))
	for _, w := range words {
		h := fnv.New32a()
		_, _ = h.Write([]byte(w))
		tokens = append(tokens, h.Sum32())
	}
	return tokens
}
