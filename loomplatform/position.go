package loomplatform

// positionVersionBits is the number of bits of a position that hold the version.
const positionVersionBits = 40

// Position returns a number that orders what the platform's table has said: by the epoch
// of the table first, and by the version of a row or of the table within it. A table that
// returns from an older copy begins a new epoch, in which it hands out versions again. In
// the first epoch, which is zero, a position equals the version.
func Position(epoch, version uint64) uint64 {
	return epoch<<positionVersionBits | version&(1<<positionVersionBits-1)
}

// PositionEpoch returns the epoch of a position.
func PositionEpoch(position uint64) uint64 {
	return position >> positionVersionBits
}

// PositionVersion returns the version of a position.
func PositionVersion(position uint64) uint64 {
	return position & (1<<positionVersionBits - 1)
}
