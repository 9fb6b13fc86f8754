package loomsettings_test

import "flag"

// A fixed seed makes the property tests deterministic; the flag -rapid.seed
// selects another one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
