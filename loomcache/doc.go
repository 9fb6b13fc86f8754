// Package loomcache decides about kept state: the keys of blocks, where each
// block may be found, and what to export, to drop or to keep.
//
// Each instance holds an Index of the prompts whose home it is. The index is
// only a hint: it can be lost and is built again from what the stores list. A
// reader checks key, store incarnation, generation and checksum itself.
package loomcache
