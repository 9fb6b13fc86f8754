// Package loomcache manages the placement of the KV cache outside engines. It
// derives the keys of cache blocks, tracks which engines and stores hold each
// block, and decides which blocks to export to a store and which to evict.
//
// Each instance has an Index of the prompt prefixes that it owns. The index is
// only a hint: when it is lost, it is rebuilt from the listings of the stores.
// Readers of a block therefore verify its key, store incarnation, generation and
// checksum.
package loomcache
