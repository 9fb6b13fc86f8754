package loomgate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the length in bytes of a request's digest.
const digestBytes = 16

// digest returns what identifies the request to upstreams: the client account, and a hash of
// the method, host, target and body. Requests of different accounts have different digests.
func (r *request) digest() string {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(r.account.Name), []byte(r.Method), []byte(r.Host), []byte(r.RequestTarget), r.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(field)
	}
	return r.account.Name + "/" + hex.EncodeToString(h.Sum(nil)[:digestBytes])
}
