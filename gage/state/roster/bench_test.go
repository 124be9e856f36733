package roster_test

import (
	"fmt"
	"testing"

	"github.com/greengagewind/greengagewind/gage/state/roster"
)

func BenchmarkPick(b *testing.B) {
	const vms, zones = 90, 3
	r := roster.New("vm-0", "0", random())
	for i := range vms {
		r.Update(start, nodeState(fmt.Sprintf("vm-%d", i), fmt.Sprint(i%zones), 1))
	}
	for range b.N {
		p, _ := r.Pick(start, "search", nil)
		r.Observe(start, p.VM, roster.Served, &p.Target)
	}
}
