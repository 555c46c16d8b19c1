package account

import "flag"

// init fixes the seed of the property tests, so that CI results are reproducible. The flag
// -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
