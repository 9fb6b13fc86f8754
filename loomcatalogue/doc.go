// Package loomcatalogue implements the catalogue, which is the configuration
// that operators edit at run time: typed entries with an owner, a class and
// limits, their validation, edits by compare-and-set on the revision, and the
// audit trail. It also defines Routing, the routes, upstreams and client
// accounts that a gate reads from the users' platform.
//
// A Snapshot is immutable. Snapshot.Edit validates an edit and computes its
// result without any I/O. Replica is the copy of the catalogue in one
// process: it commits accepted edits to the platform's table and reads the
// edits that other processes have committed.
package loomcatalogue
