// Package setup reads and checks the settings file of a node.
package setup

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Settings are the settings of one node. They do not change while it runs.
type Settings struct {
	// VM is the name of the virtual machine. It is unique in the fleet and has no
	// dot, since request IDs consist of the VM, a dot and a random part.
	VM     string
	Zone   string
	Region string
	// CallerAddress is the IP:port at which callers send requests.
	CallerAddress string
	// TargetAddress is the IP:port at which the targets on this VM reach the node.
	TargetAddress string
	// PeerAddress is the IP:port at which other nodes reach this node. Gossip
	// publishes it.
	PeerAddress string
	// OperatorAddress is the IP:port of the operators' HTTP interface. Gossip
	// publishes it.
	OperatorAddress string
	// StoreEndpoints are the URLs of the platform's store, at least one.
	StoreEndpoints []string
	// Seeds are PeerAddresses of nodes through which the node joins the fleet
	// while the store is down.
	Seeds []string
	// Policy is the admission policy. Policies other than gage.PolicyAdaptive
	// serve only for comparisons.
	Policy   gage.Policy
	LogLevel string
	Trace    Trace
	// MemoryMB is the memory that the process may use, in MiB. What clients may make it hold
	// is a share of it.
	MemoryMB int
	// FileDescriptors is the number of descriptors that the process may use, 0 for the limit
	// that the operating system sets.
	FileDescriptors int
	// StopTimeout is the maximum time for a graceful stop, including the wait for
	// requests in flight.
	StopTimeout time.Duration
}

// Trace configures the export of trace spans.
type Trace struct {
	Exporter Exporter
	// Endpoint is the host:port of the collector. It is set only for
	// ExporterOTLPHTTP.
	Endpoint string
	// File is the path of the file that spans are written to. It is set only for
	// ExporterFile.
	File string
	// Sample is the fraction of requests that are traced, from 0 to 1.
	Sample float64
}

// Exporter is a destination of trace spans.
type Exporter string

// The exporters: no export, a local file, and an OTLP collector over HTTP.
const (
	ExporterNone     Exporter = "none"
	ExporterFile     Exporter = "file"
	ExporterOTLPHTTP Exporter = "otlphttp"
)
