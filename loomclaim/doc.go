// Package loomclaim decides who may run a request that may run once at most.
//
// A claim binds an idempotency key of an account to one attempt. It is a row
// in the platform's table, inserted only when absent, so that of all attempts
// under a key one at most is ever granted, whatever instances believe. A Desk
// collects the claims of many requests into one write.
package loomclaim
