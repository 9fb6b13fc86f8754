package loomgate

import "cmp"

// Shares of the memory limit that what requests leave behind after their answers may take. An
// instance holds it beside the memory of its callers, which loomhttp.MemoryBudget bounds.
const (
	residencyShare  = 0.04
	storeIndexShare = 0.04
	partReuseShare  = 0.005
	soundShare      = 0.02
	// defaultMemoryBytes is the memory limit of a process whose settings state none.
	defaultMemoryBytes = 256 << 20
)

// memoryShare returns a share of the memory limit in bytes.
func (s Settings) memoryShare(share float64) int64 {
	return int64(float64(cmp.Or(s.MemoryBytes, defaultMemoryBytes)) * share)
}

// retainedBytes returns about how much memory each structure takes in which requests leave
// something behind, by the name of the structure.
func (g *Gate) retainedBytes() map[string]int64 {
	return map[string]int64{
		"residency":   g.residency.Bytes(),
		"store_index": g.stores.index.Bytes(),
		"part_reuse":  g.partReuse.Bytes(),
		"quarantine":  g.quarantine.ledger.Bytes(),
		"peer_news":   g.peers.pendingBytes(),
	}
}
