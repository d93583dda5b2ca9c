package replica

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property test unless the command line sets one.
// "make property" runs more checks with a new seed.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
