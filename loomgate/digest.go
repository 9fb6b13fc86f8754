package loomgate

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// digest returns what identifies the request to upstreams: the client account, and a hash of
// the method, host, target and body. Requests of different accounts have different digests,
// whatever their callers choose.
func (r *request) digest() string {
	h := xxhash.New()
	for _, field := range [...]string{r.Method, r.Host, r.RequestTarget} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(r.Body)
	return r.account.Name + "/" + strconv.FormatUint(h.Sum64(), 16)
}
