package grind

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/stand/plat"
)

// settings returns the settings file of the node on a VM whose target is one of service.
func settings(v *vm, service, storeAddress string) []byte {
	lines := []string{
		fmt.Sprintf("node_name = %q", v.name),
		fmt.Sprintf("ip = %q", v.ip),
		fmt.Sprintf("zone = %q", v.zone),
		fmt.Sprintf("internal_ports = [%d, %d]", firstInternalPort, lastInternalPort),
		fmt.Sprintf("application = %q", v.address(portTargetProxy)),
		fmt.Sprintf("service = %q", service),
		`bounds = ["revoke=5000ms", "revoke_everywhere=true", "grace=6s", "retry_budget_ratio=0.2", "budget_slack=50", "cold_overage=1.5", "cold_slack=5"]`,
		"[listen]",
		fmt.Sprintf("outbound = %q", v.address(portCallers)),
		fmt.Sprintf("ready = %q", v.address(portReady)),
		fmt.Sprintf("control = %q", v.address(portReports)),
		"[limits]",
		"memory_mb = 284",
		"[platform]",
		fmt.Sprintf("address = %q", storeAddress),
		`form = "kv"`,
	}
	return []byte(strings.Join(lines, "\n") + "\n")
}

// newTarget returns an incarnation of the target of a VM. The target makes the
// nested calls that belong to its service.
func newTarget(v *vm, service string, incarnation int) *plat.Target {
	t := &plat.Target{ID: fmt.Sprintf("i-%s-%d", v.name, incarnation), Service: service, Zone: v.zone, Slots: 40, ServiceTime: 2 * time.Millisecond}
	call := func(path string) plat.Call {
		return plat.Call{Outbound: v.address(portCallers), Host: host, Path: path}
	}
	switch service {
	case "search":
		t.Calls = []plat.Call{call("/custody/1"), call("/venue/1")}
	case "custody":
		t.Calls = []plat.Call{call("/venue/2")}
	}
	return t
}

// serveHTTP starts the HTTP server of the store.
func serveHTTP(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}
