package gossip_test

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// TestMain fixes the seed of the property tests unless -rapid.seed is given, so
// that their results are reproducible.
func TestMain(m *testing.M) {
	// With several processors the runtime of the race detector (Go 1.26.8)
	// crashes in testing/synctest bubbles of many goroutines. With one
	// processor it still detects every data race, because it checks the order
	// of synchronization and not the timing.
	runtime.GOMAXPROCS(1)
	flag.Parse()
	isSeedSet := false
	flag.Visit(func(f *flag.Flag) { isSeedSet = isSeedSet || f.Name == "rapid.seed" })
	if !isSeedSet {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
