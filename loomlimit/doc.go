// Package loomlimit implements fair queueing and rate limits for client accounts:
// the order in which queued requests are dispatched, and the rate at which an
// account may consume tokens over all instances together.
//
// Amounts are in tokens: the prompt tokens that are recomputed plus the tokens
// that are generated. Rates are in tokens per second.
package loomlimit
