package loomcatalogue_test

import "flag"

// init sets a fixed seed, so that property tests give the same result in every
// run. The flag -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
