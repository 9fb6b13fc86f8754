package loomcache

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"strings"
)

const (
	// BlockTokens is the number of tokens in a block of kept state.
	BlockTokens = 64
	// KeyBytes is the length of a block key.
	KeyBytes = 16
	// firstSegment is the number of blocks of the first segment of a prompt,
	// and segmentGrowth the ratio of the depths at which segments end.
	firstSegment  = 4
	segmentGrowth = 4
)

// Key names the kept state of one block after all blocks before it. Equal
// tokens of different accounts, models, adapters or versions have different
// keys.
type Key [KeyBytes]byte

// String returns the key in hexadecimal.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// KeyFrom returns the key that b holds. The result is false when b has
// another length.
func KeyFrom(b []byte) (Key, bool) {
	if len(b) != KeyBytes {
		return Key{}, false
	}
	return Key(b), true
}

// Salt separates kept state that must never mix. Each field is part of every
// block key.
type Salt struct {
	ClientAccount  string
	Model          string
	Adapter        string
	Version        uint64
	AdapterVersion uint64
}

// String returns the salt as the text that engines get as cache salt. Names
// hold no slash, so that two salts never share a text.
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

// Chain returns the keys of the full blocks of tokens, in order.
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

// Segments cuts the keys of a prompt into runs at fixed depths, each four times
// as deep as the one before. A run has the home of its first key, so that
// prompts with a common start share the homes of the common part and are spread
// over other homes beyond it.
func Segments(keys []Key) [][]Key {
	var segments [][]Key
	start := 0
	for depth := firstSegment; start < len(keys); depth *= segmentGrowth {
		end := min(depth, len(keys))
		segments = append(segments, keys[start:end])
		start = end
	}
	return segments
}

// Tokenize splits text at white space and maps each word to a token.
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
