package loomschedule_test

import "flag"

// A fixed seed makes property tests reproducible; the flag -rapid.seed overrides
// it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
