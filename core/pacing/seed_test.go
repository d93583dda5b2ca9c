package pacing_test

import "flag"

// init fixes the seed of the property tests; the command line may set another.
func init() { flag.Set("rapid.seed", "1") }
