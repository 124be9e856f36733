package shed_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run generates the same tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
