package local_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid unless one is given, so that the tests
// are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	isSeedGiven := false
	flag.Visit(func(f *flag.Flag) { isSeedGiven = isSeedGiven || f.Name == "rapid.seed" })
	if !isSeedGiven {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
