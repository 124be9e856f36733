package gossip_test

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	// With several processors the runtime of the race detector (Go 1.26.8)
	// crashes in testing/synctest bubbles of many goroutines. With one it still
	// sees every unordered access, since it goes by order and not by time.
	runtime.GOMAXPROCS(1)
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
