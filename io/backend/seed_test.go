package backend

import "flag"

// init sets a fixed seed for the property tests. The command line can override it.
func init() { flag.Set("rapid.seed", "1") }
