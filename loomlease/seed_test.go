package loomlease_test

import "flag"

// The seed of rapid is fixed, so that every run checks the same cases. The flag
// -rapid.seed selects another one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
