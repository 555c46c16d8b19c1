package relay

import "flag"

// The seed of the property tests is fixed, so that CI always gives the same result. The flag
// -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }
