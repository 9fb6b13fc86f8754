// Package loomlimit decides about shares and limits of client accounts: the
// order in which queued requests are dispatched, and what an account may spend
// in a while, over all instances together.
//
// The unit is the token: prompt tokens that are recomputed plus tokens that are
// generated.
package loomlimit
