package setup

import (
	"fmt"
	"math"
	"os"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/check"
)

// The limits and the default values of settings.
const (
	maxFileBytes          = 64 << 10
	defaultSampleFraction = 0.01
	defaultStopTimeout    = 30 * time.Second
	// minStopTimeout is long enough for the node to announce that it is draining
	// and to hand over its quota shares, and then to wait for requests in flight.
	minStopTimeout  = 10 * time.Second
	maxStopTimeout  = 10 * time.Minute
	defaultLogLevel = "info"
	defaultMemoryMB = 256
	minMemoryMB     = 64
	maxMemoryMB     = 1 << 20
	// minFileDescriptors leave sockets beside those that are for files.
	minFileDescriptors = 400
	maxFileDescriptors = 1 << 24
)

// document is the decoded settings file before its values are checked.
type document struct {
	VM              any
	Zone            any
	Region          any
	CallerAddress   any
	TargetAddress   any
	PeerAddress     any
	OperatorAddress any
	StoreEndpoints  any
	Seeds           any
	Policy          any
	LogLevel        any
	Trace           trace
	MemoryMB        any
	FileDescriptors any
	StopTimeout     any
}

// trace is the unchecked table Trace of a document.
type trace struct {
	Exporter any
	Endpoint any
	File     any
	Sample   any
}

// Load returns the settings in a file, or every problem found in it.
func Load(file string) (Settings, check.Problems) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, check.Problems{{File: file, Allowed: fmt.Sprintf("cannot be read: %v", err)}}
	}
	return Parse(file, text)
}

// Parse returns the settings in text, or every problem found in it. file is the
// file's name, used only in the problems.
func Parse(file string, text []byte) (Settings, check.Problems) {
	var d document
	f, ok := check.Read(file, text, maxFileBytes, &d)
	if !ok {
		return Settings{}, f.Problems()
	}
	p := parser{File: f}
	s := p.settings(d)
	if problems := f.Problems(); len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// parser converts a document to Settings and collects its problems.
type parser struct {
	*check.File
}

func (p *parser) settings(d document) Settings {
	zone, _ := p.ObjectName("Zone", d.Zone)
	region, _ := p.ObjectName("Region", d.Region)
	s := Settings{
		VM:              p.vmName(d.VM),
		Zone:            zone,
		Region:          region,
		CallerAddress:   p.address("CallerAddress", d.CallerAddress),
		TargetAddress:   p.address("TargetAddress", d.TargetAddress),
		PeerAddress:     p.reachableAddress("PeerAddress", d.PeerAddress),
		OperatorAddress: p.reachableAddress("OperatorAddress", d.OperatorAddress),
		StoreEndpoints:  p.endpointList("StoreEndpoints", d.StoreEndpoints),
		Seeds:           p.addressList("Seeds", d.Seeds),
		Policy:          gage.Policy(p.OneOf("Policy", d.Policy, string(gage.PolicyAdaptive), policies)),
		LogLevel:        p.OneOf("LogLevel", d.LogLevel, defaultLogLevel, logLevels),
		Trace:           p.trace(d.Trace),
		MemoryMB:        p.wholeNumber("MemoryMB", d.MemoryMB, defaultMemoryMB, minMemoryMB, maxMemoryMB),
		FileDescriptors: p.wholeNumber("FileDescriptors", d.FileDescriptors, 0, minFileDescriptors, maxFileDescriptors),
		StopTimeout:     p.Duration("StopTimeout", d.StopTimeout, defaultStopTimeout, minStopTimeout, maxStopTimeout),
	}
	p.checkDistinctAddresses(s)
	return s
}

func (p *parser) trace(d trace) Trace {
	t := Trace{
		Exporter: Exporter(p.OneOf("Trace.Exporter", d.Exporter, string(ExporterNone), exporters)),
		Sample:   defaultSampleFraction,
	}
	if d.Sample != nil {
		t.Sample = p.Number("Trace.Sample", d.Sample, isFraction, "must be a number from 0 to 1")
	}
	t.Endpoint = p.exporterSetting("Trace.Endpoint", d.Endpoint, t.Exporter, ExporterOTLPHTTP, p.hostPort)
	t.File = p.exporterSetting("Trace.File", d.File, t.Exporter, ExporterFile, p.fileName)
	return t
}

// exporterSetting validates a setting that may be set only if exporter is
// requiredExporter. For any other exporter it refuses a value and returns "".
func (p *parser) exporterSetting(key string, value any, exporter, requiredExporter Exporter, validate func(key string, value any) string) string {
	if exporter == requiredExporter {
		return validate(key, value)
	}
	if value != nil {
		p.Refuse(key, fmt.Sprintf("is allowed only with Exporter = %q", requiredExporter))
	}
	return ""
}

// wholeNumber returns a whole number from least to most, or missing if value is nil.
func (p *parser) wholeNumber(key string, value any, missing, least, most int) int {
	if value == nil {
		return missing
	}
	allowed := func(number float64) bool {
		return number == math.Trunc(number) && number >= float64(least) && number <= float64(most)
	}
	return int(p.Number(key, value, allowed, fmt.Sprintf("must be a whole number from %d to %d", least, most)))
}

func isFraction(number float64) bool {
	return number >= 0 && number <= 1 && !math.IsNaN(number)
}
