package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// stopTimeout bounds the graceful shutdown of a process; after it the process is
// killed.
const stopTimeout = 25 * time.Second

// Options are the inputs of Start.
type Options struct {
	Layout *Layout
	// Bin is the directory of the programs node, ggw and stand.
	Bin string
	// Dir is the directory for the nodes' settings files, the output of the
	// processes and the run logs. It is created if it doesn't exist.
	Dir string
	// Block is the second byte of every IP address, from 0 to 255. Fleets with
	// different blocks can run at the same time.
	Block int
	// Policy is the admission policy in the nodes' settings; with "" the nodes
	// use their default.
	Policy string
	// Config is the path of the configuration file.
	Config string
}

// Fleet is a running store with its nodes and targets.
type Fleet struct {
	opts Options
	// generation is the base generation of the next Apply; 0 before the first.
	generation int64
	Store      *Process
	// StoreURL serves the store's API, StoreControlURL its fault injection.
	StoreURL        string
	StoreControlURL string
	VMs             []*RunningVM
}

// RunningVM is a VM whose node and targets run as local processes.
type RunningVM struct {
	VM
	IP string
	// settings is the path of the node's settings file.
	settings string
	// Node is nil until the node has been started.
	Node *Process
	// Targets are in the order of the layout.
	Targets []*RunningTarget
}

// RunningTarget is a target that runs as a local process.
type RunningTarget struct {
	Target
	// URL serves requests, ControlURL the control interface for faults.
	URL        string
	ControlURL string
	Process    *Process
	args       []string
}

// Start starts the store, applies the configuration file, and starts the nodes
// and then the targets. It does not wait until nodes and targets are ready. On an
// error, it stops the processes that it has started.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

// RunLogDir returns the directory of the targets' run logs.
func (f *Fleet) RunLogDir() string { return filepath.Join(f.opts.Dir, "runs") }

// EntryURLs returns the base URL of each node for requests from callers.
func (f *Fleet) EntryURLs() []string {
	var entries []string
	for _, m := range f.VMs {
		entries = append(entries, "http://"+hostPort(m.IP, callerPort))
	}
	return entries
}

// Targets returns the running targets of a service.
func (f *Fleet) Targets(service string) []*RunningTarget {
	var targets []*RunningTarget
	for _, m := range f.VMs {
		for _, t := range m.Targets {
			if t.Service == service {
				targets = append(targets, t)
			}
		}
	}
	return targets
}

// ZoneTargets returns the names of the targets in a zone.
func (f *Fleet) ZoneTargets(zone string) []string {
	var names []string
	for _, m := range f.VMs {
		for _, t := range m.Targets {
			if m.Zone == zone {
				names = append(names, t.Name)
			}
		}
	}
	return names
}

// Stop stops the targets, then the nodes, then the store, each with SIGTERM. It
// returns the joined errors of Process.Stop.
func (f *Fleet) Stop() error {
	var targets, nodes, store []*Process
	for _, m := range f.VMs {
		for _, t := range m.Targets {
			targets = append(targets, t.Process)
		}
		if m.Node != nil {
			nodes = append(nodes, m.Node)
		}
	}
	if f.Store != nil {
		store = append(store, f.Store)
	}
	errs := stopAll(targets, stopTimeout)
	errs = append(errs, stopAll(nodes, stopTimeout)...)
	errs = append(errs, stopAll(store, stopTimeout)...)
	return errors.Join(errs...)
}

func (f *Fleet) start(ctx context.Context) error {
	for _, dir := range []string{"runs", "output", "settings"} {
		if err := os.MkdirAll(filepath.Join(f.opts.Dir, dir), 0o755); err != nil {
			return fmt.Errorf("make directory: %w", err)
		}
	}
	addresses := newAddresses(f.opts.Block)
	if err := f.startStore(ctx, addresses.store()); err != nil {
		return err
	}
	if err := f.Apply(ctx, f.opts.Config); err != nil {
		return err
	}
	for _, vm := range f.opts.Layout.VM {
		m := &RunningVM{VM: vm, IP: addresses.nextVM(vm.Zone)}
		f.VMs = append(f.VMs, m)
		if err := f.writeNodeSettings(m); err != nil {
			return err
		}
		if err := f.StartNode(m); err != nil {
			return err
		}
	}
	for _, m := range f.VMs {
		if err := f.startTargets(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startStore(ctx context.Context, ip string) (err error) {
	f.StoreURL = "http://" + hostPort(ip, storePort)
	f.StoreControlURL = "http://" + hostPort(ip, storeControlPort)
	f.Store, err = f.startProgram("store", "stand", "store",
		"--listen", hostPort(ip, storePort), "--control", hostPort(ip, storeControlPort))
	if err != nil {
		return err
	}
	if err := awaitOK(ctx, f.StoreControlURL+"/counts"); err != nil {
		return err
	}
	if !f.Store.Running() {
		return fmt.Errorf("another store is already listening at %s: stop it or use another --block", f.StoreURL)
	}
	return nil
}

func (f *Fleet) writeNodeSettings(m *RunningVM) error {
	m.settings = filepath.Join(f.opts.Dir, "settings", m.Name+".toml")
	return writeSettingsFile(m.settings, nodeSettings{
		VM: m.Name, Zone: m.Zone, Region: f.opts.Layout.Region,
		CallerAddress:   hostPort(m.IP, callerPort),
		TargetAddress:   hostPort(m.IP, registrationPort),
		PeerAddress:     hostPort(m.IP, peerPort),
		OperatorAddress: hostPort(m.IP, operatorPort),
		StoreEndpoints:  []string{f.StoreURL},
		Policy:          f.opts.Policy,
	})
}

// StartNode starts the node of a VM, for the first time or again after it has
// exited.
func (f *Fleet) StartNode(m *RunningVM) (err error) {
	m.Node, err = f.startProgram("node-"+m.Name, "node", "run", "--settings", m.settings)
	return err
}

func (f *Fleet) startTargets(m *RunningVM) error {
	for i, target := range m.Target {
		t := &RunningTarget{
			Target:     target,
			URL:        "http://" + hostPort(m.IP, firstServicePort+i*portStep),
			ControlURL: "http://" + hostPort(m.IP, firstControlPort+i*portStep),
			args:       f.targetArgs(m, i),
		}
		if err := f.StartTarget(t); err != nil {
			return err
		}
		m.Targets = append(m.Targets, t)
	}
	return nil
}

// StartTarget starts a target, for the first time or again after it has exited.
func (f *Fleet) StartTarget(t *RunningTarget) (err error) {
	t.Process, err = f.startProgram("target-"+t.Name, "stand", t.args...)
	return err
}

func (f *Fleet) targetArgs(m *RunningVM, index int) []string {
	target := m.Target[index]
	args := []string{
		"target", "--name", target.Name, "--service", target.Service,
		"--listen", hostPort(m.IP, firstServicePort+index*portStep), "--control", hostPort(m.IP, firstControlPort+index*portStep),
		"--node", "http://" + hostPort(m.IP, registrationPort),
		"--slots", strconv.Itoa(target.Slots), "--service-time", time.Duration(target.ServiceTime).String(),
		"--cold-start", time.Duration(target.ColdStart).String(), "--cold-slots", strconv.Itoa(max(1, target.ColdSlots)),
		"--run-log", filepath.Join(f.RunLogDir(), target.Name+".jsonl"),
	}
	for _, call := range target.Call {
		args = append(args, "--call", call)
	}
	return args
}

func (f *Fleet) startProgram(name, program string, args ...string) (*Process, error) {
	output := filepath.Join(f.opts.Dir, "output", name+".log")
	return StartProcess(name, output, filepath.Join(f.opts.Bin, program), args...)
}
