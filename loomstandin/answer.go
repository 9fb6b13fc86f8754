package loomstandin

import (
	"crypto/sha256"
	"encoding/binary"

	"swiftloom/loomcache"
)

// state is what an engine knows after a block of a prompt: a digest of the
// weights, the salt and all tokens so far. Two prompts share a state only
// when they agree in all of these.
type state [sha256.Size]byte

func initialState(salt, model string, version uint64) state {
	h := sha256.New()
	_, _ = h.Write([]byte(salt))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(model))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, version))
	return state(h.Sum(nil))
}

func (s state) extend(tokens []uint32) state {
	buf := make([]byte, 0, len(s)+4*len(tokens))
	buf = append(buf, s[:]...)
	for _, t := range tokens {
		buf = binary.LittleEndian.AppendUint32(buf, t)
	}
	return sha256.Sum256(buf)
}

func (s state) answerToken(offset int) uint32 {
	buf := binary.BigEndian.AppendUint64(s[:], uint64(offset))
	sum := sha256.Sum256(buf)
	return binary.BigEndian.Uint32(sum[:])
}

// ExpectedAnswer returns the n tokens that a correct engine answers to a
// prompt.
func ExpectedAnswer(salt loomcache.Salt, tokens []uint32, n int) []uint32 {
	s := initialState(salt.String(), salt.Model, salt.Version)
	for len(tokens) >= loomcache.BlockTokens {
		s = s.extend(tokens[:loomcache.BlockTokens])
		tokens = tokens[loomcache.BlockTokens:]
	}
	s = s.extend(tokens)
	answer := make([]uint32, n)
	for i := range answer {
		answer[i] = s.answerToken(i)
	}
	return answer
}
