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

// ticketPrefix starts every ticket; other idempotency keys are refused it.
const ticketPrefix = "ticket."

// Ticket is an idempotency key that the system gives out. Only the holder, in
// the incarnation that gave it out, ever grants it. It is immutable.
type Ticket struct {
	ClientAccount string    `json:"a"`
	Holder        string    `json:"h"`
	Incarnation   uint64    `json:"i"`
	Serial        uint64    `json:"s"`
	Expires       time.Time `json:"e"`
}

// IsTicket reports whether a key has the form of a ticket.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// Sign returns the ticket as a key that only the owners of secret can make.
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

// ParseTicket returns the ticket that a key holds. It fails when the key was
// not signed with secret.
func ParseTicket(key, secret string) (Ticket, error) {
	var t Ticket
	body, sum, ok := strings.Cut(strings.TrimPrefix(key, ticketPrefix), ".")
	if !ok || !IsTicket(key) {
		return t, errors.NotValidf("ticket")
	}
	e := base64.RawURLEncoding
	raw, err := e.DecodeString(body)
	if err != nil {
		return t, errors.NotValidf("ticket")
	}
	given, err := e.DecodeString(sum)
	if err != nil || !hmac.Equal(given, mac(secret, raw)) {
		return t, errors.NotValidf("ticket")
	}
	return t, errors.Annotate(json.Unmarshal(raw, &t), "decode ticket")
}
