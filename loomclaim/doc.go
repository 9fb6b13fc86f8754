// Package loomclaim grants at most one attempt the right to run a request that
// must not run twice.
//
// A claim binds an idempotency key of an account to one attempt. It is a row in
// the platform's table that is inserted only when absent, so at most one attempt
// per key is ever granted, also when instances disagree about each other's state.
// The claims of many requests are batched into one write.
//
// A Ticket is an idempotency key that an instance issues and decides in memory,
// without a write to the table.
package loomclaim
