package member_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless -rapid.seed is given, so
// that their results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
