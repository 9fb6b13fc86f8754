package loomstandin

import (
	"crypto/sha256"
	"encoding/binary"

	"swiftloom/loomcache"
)

// prefixState stands for the KV cache contents of an engine after a prefix of a
// prompt. It is a digest of the cache salt, the model, the weight version and all
// tokens of the prefix, so two prompts have equal states only if they agree in
// all of these. Reuse of a wrong block therefore shows as a wrong answer.
type prefixState [sha256.Size]byte

func initialState(salt, model string, version uint64) prefixState {
	h := sha256.New()
	_, _ = h.Write([]byte(salt))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(model))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, version))
	return prefixState(h.Sum(nil))
}

// extend returns the state after the given further tokens.
func (s prefixState) extend(tokens []uint32) prefixState {
	buf := make([]byte, 0, len(s)+4*len(tokens))
	buf = append(buf, s[:]...)
	for _, t := range tokens {
		buf = binary.LittleEndian.AppendUint32(buf, t)
	}
	return sha256.Sum256(buf)
}

// tokenAt returns the token at an offset of the answer to a prompt whose final
// state is s.
func (s prefixState) tokenAt(offset int) uint32 {
	buf := binary.BigEndian.AppendUint64(s[:], uint64(offset))
	sum := sha256.Sum256(buf)
	return binary.BigEndian.Uint32(sum[:])
}

// ExpectedAnswer returns the first n tokens that a correct engine generates for
// a prompt under the given salt.
func ExpectedAnswer(salt loomcache.Salt, tokens []uint32, n int) []uint32 {
	s := initialState(salt.String(), salt.Model, salt.Version)
	for len(tokens) >= loomcache.BlockTokens {
		s = s.extend(tokens[:loomcache.BlockTokens])
		tokens = tokens[loomcache.BlockTokens:]
	}
	s = s.extend(tokens)
	answer := make([]uint32, n)
	for i := range answer {
		answer[i] = s.tokenAt(i)
	}
	return answer
}
