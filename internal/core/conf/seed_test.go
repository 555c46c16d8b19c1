package conf

import "flag"

// The seed of the property tests is fixed so that CI runs are reproducible; pass -rapid.seed to
// use another.
func init() { _ = flag.Set("rapid.seed", "1") }
