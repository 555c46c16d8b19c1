package retry

import "flag"

// The seed of the property tests is fixed, so that CI gives the same verdict each
// time; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }
