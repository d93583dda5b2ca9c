package registry

import "flag"

// init fixes the seed of the property tests; the command line may give another.
func init() { flag.Set("rapid.seed", "1") }
