// Package loomcatalogue holds the catalogue: typed entries with an owner, a
// class and limits, their validation, edits that compare and set the revision,
// and the audit trail.
//
// A Snapshot is immutable. Snapshot.Edit decides about an edit without input
// or output; Keeper carries an accepted edit to the platform's table and reads
// the changes of others back.
package loomcatalogue
