package grind

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/stand/plat"
)

// settings returns the settings file of a machine.
func settings(m *machine, store string) []byte {
	lines := []string{
		fmt.Sprintf("node_name = %q", m.name),
		fmt.Sprintf("ip = %q", m.ip),
		fmt.Sprintf("zone = %q", m.zone),
		fmt.Sprintf("internal_ports = [%d, %d]", portFirst, portLast),
		fmt.Sprintf("application = %q", m.at(portLink)),
		fmt.Sprintf("service = %q", m.service),
		`bounds = ["revoke=5000ms", "revoke_everywhere=true", "grace=6s", "retry_budget_ratio=0.2", "budget_slack=50", "cold_overage=1.5", "cold_slack=5"]`,
		"[listen]",
		fmt.Sprintf("outbound = %q", m.at(portCallers)),
		fmt.Sprintf("ready = %q", m.at(portReady)),
		fmt.Sprintf("control = %q", m.at(portReports)),
		"[limits]",
		"memory_mb = 284",
		"[platform]",
		fmt.Sprintf("address = %q", store),
		`form = "kv"`,
	}
	return []byte(strings.Join(lines, "\n") + "\n")
}

// target returns a lifetime of the target of a machine, with the calls of its
// service.
func target(m *machine, service string, lifetime int) *plat.Target {
	t := &plat.Target{ID: fmt.Sprintf("i-%s-%d", m.name, lifetime), Service: service, Zone: m.zone, Slots: 40, Work: 2 * time.Millisecond}
	call := func(path string) plat.Call { return plat.Call{Outbound: m.at(portCallers), Host: host, Path: path} }
	switch service {
	case "search":
		t.Calls = []plat.Call{call("/custody/1"), call("/venue/1")}
	case "custody":
		t.Calls = []plat.Call{call("/venue/2")}
	}
	return t
}

// serve opens an HTTP server.
func serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}
