package loomclaim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ticketPrefix starts every ticket. Idempotency keys that callers choose must not
// start with it.
const ticketPrefix = "ticket."

// Ticket is an idempotency key that an instance has issued. Only that instance,
// in the same incarnation, decides claims under it. It is immutable.
type Ticket struct {
	ClientAccount string `json:"a"`
	// Holder is the ID of the instance that issued the ticket.
	Holder      string    `json:"h"`
	Incarnation uint64    `json:"i"`
	Serial      uint64    `json:"s"`
	Expires     time.Time `json:"e"`
}

// IsTicket reports whether a key has the prefix of a ticket. It does not check
// the signature.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// Sign encodes the ticket as a key with an HMAC-SHA-256 signature. Only processes
// that know secret can produce such a key.
func (t Ticket) Sign(secret string) (string, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return "", errors.Annotate(err, "encode ticket")
	}
	e := base64.RawURLEncoding
	return ticketPrefix + e.EncodeToString(body) + "." + e.EncodeToString(mac(secret, body)), nil
}

func mac(secret string, body []byte) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	_, _ = h.Write(body)
	return h.Sum(nil)
}

// ParseTicket decodes a key that Sign has returned. It returns an error when the
// key was not signed with secret.
func ParseTicket(key, secret string) (Ticket, error) {
	var t Ticket
	body, signature, ok := strings.Cut(strings.TrimPrefix(key, ticketPrefix), ".")
	if !ok || !IsTicket(key) {
		return t, errors.NotValidf("ticket without prefix or signature")
	}
	e := base64.RawURLEncoding
	raw, err := e.DecodeString(body)
	if err != nil {
		return t, errors.NotValidf("base64 encoding of the ticket")
	}
	given, err := e.DecodeString(signature)
	if err != nil || !hmac.Equal(given, mac(secret, raw)) {
		return t, errors.NotValidf("signature of the ticket")
	}
	return t, errors.Annotate(json.Unmarshal(raw, &t), "decode ticket")
}
