// Package grind is the soak test of the nodes of the users' platform. It runs the
// nodes as separate processes under load, injects random faults, and checks the
// records of callers and targets. A seed determines the sequence of faults. Without
// faults, the soak is an end-to-end test.
package grind

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/plat"
	"github.com/greengagewind/greengagewind/stand/proxy"
)

const (
	// startupTime is the time from the start of the fleet to the first request.
	startupTime = 4 * time.Second
	// defaultFaultFreeDuration is the default of Options.FaultFreeDuration.
	defaultFaultFreeDuration = 20 * time.Second
	// recoveryTime is how long the fleet may take to recover after the last fault.
	// The documentation of the users' platform sets this bound.
	recoveryTime = 15 * time.Second
	// minServedShare is the share of requests that must be served once the fleet
	// has had time to recover.
	minServedShare    = 0.97
	stopTimeout       = 7 * time.Second
	heartbeatInterval = 500 * time.Millisecond
	// lateHeartbeatPercent of the heartbeats arrive late, by up to maxHeartbeatDelay.
	lateHeartbeatPercent = 10
	maxHeartbeatDelay    = 3 * time.Second
)

// Options are the options of the command stand platform.
type Options struct {
	Streams command.Streams
	// Bin is the directory that contains the program platform.
	Bin string
	// Dir is the directory for settings and logs. Run empties it first.
	Dir string
	// Block is the second byte of every loopback address, from 1 to 250.
	Block int
	// VMs is the number of VMs, from 3 to 200.
	VMs  int
	Seed uint64
	// FaultDuration is how long actions of Plan are run. If it is 0, none is run.
	FaultDuration time.Duration
	// Plan selects the kinds of actions.
	Plan Plan
	// FaultFreeDuration is how long the fleet runs without faults at the end.
	FaultFreeDuration time.Duration
}

// New declares the command stand platform.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "platform"
	o := &Options{Streams: streams}
	c := app.Command(name, "run the nodes of the users' platform, with faults if --length is set, and check the records")
	c.Flag("bin", "directory of the programs").Default(".bin").StringVar(&o.Bin)
	c.Flag("dir", "directory for settings and logs").Default(".run/platform").StringVar(&o.Dir)
	c.Flag("block", "second byte of every loopback address").Default("30").IntVar(&o.Block)
	c.Flag("vms", "number of VMs").Default("9").IntVar(&o.VMs)
	c.Flag("seed", "seed of the faults").Default("1").Uint64Var(&o.Seed)
	c.Flag("length", "how long faults are injected; 0s for none").Default("0s").DurationVar(&o.FaultDuration)
	c.Flag("plan", "what happens meanwhile: All, faults and maintenance, or Work, maintenance alone").
		Default(string(PlanAll)).EnumVar((*string)(&o.Plan), string(PlanAll), string(PlanWork))
	c.Flag("calm", "how long the fleet runs without faults at the end").Default(defaultFaultFreeDuration.String()).DurationVar(&o.FaultFreeDuration)
	return name, func(ctx context.Context) error { return Run(ctx, o) }
}

// Run runs a fleet. It returns an error when a guarantee is violated or too few
// requests are served, and a command.UsageError when an option is out of range.
func Run(ctx context.Context, o *Options) error {
	if o.Block < 1 || o.Block > 250 || o.VMs < 3 || o.VMs > 200 {
		return &command.UsageError{Err: fmt.Errorf("--block %d, --vms %d: use 1 to 250 and 3 to 200", o.Block, o.VMs)}
	}
	if err := os.RemoveAll(o.Dir); err != nil {
		return fmt.Errorf("clear %s: %w", o.Dir, err)
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return fmt.Errorf("make %s: %w", o.Dir, err)
	}
	c := newCluster(o)
	if err := c.start(); err != nil {
		return errors.Join(err, c.stop())
	}
	sleep(ctx, startupTime)
	callers := newCallers(c)
	callers.start(ctx)
	c.runActions(ctx)
	c.endFaults()
	callers.requireServiceFrom(time.Now().Add(min(recoveryTime, o.FaultFreeDuration/2)))
	end := time.Now().Add(o.FaultFreeDuration)
	if o.FaultDuration > 0 && o.Plan == PlanAll {
		c.drillRestore(ctx)
	}
	sleep(ctx, time.Until(end))
	callers.stop()
	stopErr := c.stop()
	return errors.Join(stopErr, c.writeEvents(), callers.report(o.Streams.Out))
}

// runActions runs the actions of the plan for Options.FaultDuration.
func (c *cluster) runActions(ctx context.Context) {
	const mainActions, sideActions = 0, 1 << 32
	sideCtx, endSideActions := context.WithCancel(ctx)
	var side sync.WaitGroup
	if c.options.FaultDuration > 0 {
		side.Go(func() { c.runSideActions(sideCtx, rand.New(rand.NewPCG(c.options.Seed, sideActions))) })
	}
	random := rand.New(rand.NewPCG(c.options.Seed, mainActions))
	for end := time.Now().Add(c.options.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		c.runAction(ctx, random)
	}
	endSideActions()
	side.Wait()
}

// sleep returns after d, or earlier if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// vm is one VM, with the process of its node and its target.
type vm struct {
	name, zone, ip, settings string
	// service is the service of the VM's first target.
	service string
	// startMu is held while the process is started.
	startMu sync.Mutex
	process *fleet.Process
	// targets holds all incarnations of the target.
	targets targetSet
	// targetLink is the proxy between the node and the target.
	targetLink *proxy.Proxy
	// frozen reports that the process is suspended by SIGSTOP.
	frozen bool
}

// The ports of a VM.
const (
	portCallers       = 8548
	portReady         = 8546
	portReports       = 8540
	portTarget        = 8547
	portTargetProxy   = 8549
	firstInternalPort = 7000
	lastInternalPort  = 7015
)

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// cluster is a running fleet with its store.
type cluster struct {
	options *Options
	store   *plat.Store
	server  *http.Server
	// storeLink is the proxy between the nodes and the store.
	storeLink *proxy.Proxy
	vms       []*vm
	operator  *operator
	history   history
	// background waits for target replacements in progress.
	background sync.WaitGroup
	// done is closed to end the heartbeats and the lease expiry of the store.
	done chan struct{}

	mu     sync.Mutex
	events []string
	// copies are the latest copies of the store, the oldest first.
	copies []plat.Copy
}

func newCluster(o *Options) *cluster {
	c := &cluster{options: o, store: plat.NewStore(), done: make(chan struct{})}
	c.operator = newOperator(c)
	return c
}

// logEvent adds a line to the event log.
func (c *cluster) logEvent(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, time.Now().UTC().Format(eventTimeLayout)+" "+event)
}

// eventTimeLayout is the layout of times in the event log, the same as in the
// logs of the nodes.
const eventTimeLayout = "2006-01-02T15:04:05.000Z"

// writeEvents writes the event log to the directory with the logs of the nodes.
func (c *cluster) writeEvents() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := strings.Join(c.events, "\n") + "\n"
	if err := os.WriteFile(filepath.Join(c.options.Dir, "events.log"), []byte(text), 0o600); err != nil {
		return fmt.Errorf("write the event log: %w", err)
	}
	return nil
}

// The VMs are distributed evenly over the services and the availability zones.
var (
	serviceNames = []string{"search", "custody", "ceremony"}
	zoneNames    = []string{"zone-a", "zone-b", "zone-c"}
)

func (c *cluster) start() error {
	address := fmt.Sprintf("127.%d.250.1:8545", c.options.Block)
	server, err := serveHTTP(address, c.store.Handler())
	if err != nil {
		return err
	}
	c.server = server
	if c.storeLink, err = proxy.New(fmt.Sprintf("127.%d.250.2:8545", c.options.Block), address); err != nil {
		return err
	}
	go c.store.Run(c.done)
	c.operator.writeFirstConfig()
	go c.keepCopies()
	for i := range c.options.VMs {
		v := &vm{
			name: fmt.Sprintf("vm-%03d", i), zone: zoneNames[i/len(serviceNames)%len(zoneNames)], service: serviceNames[i%len(serviceNames)],
			ip: fmt.Sprintf("127.%d.%d.%d", c.options.Block, 1+i/200, 1+i%200),
		}
		v.settings = filepath.Join(c.options.Dir, v.name+".toml")
		if err := c.startTarget(v, v.service, 0); err != nil {
			return err
		}
		if v.targetLink, err = proxy.New(v.address(portTargetProxy), v.address(portTarget)); err != nil {
			return err
		}
		if err := os.WriteFile(v.settings, settings(v, v.service, c.storeLink.Address()), 0o600); err != nil {
			return fmt.Errorf("write the settings of %s: %w", v.name, err)
		}
		c.vms = append(c.vms, v)
		if err := c.startProcess(v); err != nil {
			return err
		}
	}
	go c.sendHeartbeats()
	return nil
}

// startProcess starts the process of a VM, unless another fault that overlaps with this one
// has started it again already.
func (c *cluster) startProcess(v *vm) error {
	v.startMu.Lock()
	defer v.startMu.Unlock()
	if v.process != nil && v.process.Running() {
		return nil
	}
	log := filepath.Join(c.options.Dir, v.name+".log")
	process, err := fleet.StartProcess(v.name, log, filepath.Join(c.options.Bin, "platform"), "--settings", v.settings)
	v.process = process
	return err
}

// sendHeartbeats sends the heartbeats of all targets until done is closed.
func (c *cluster) sendHeartbeats() {
	const lateHeartbeats = 1 << 33
	random := rand.New(rand.NewPCG(c.options.Seed, lateHeartbeats))
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		for _, v := range c.vms {
			delay := time.Duration(0)
			if c.options.FaultDuration > 0 && random.IntN(100) < lateHeartbeatPercent {
				delay = time.Duration(random.Int64N(int64(maxHeartbeatDelay)))
			}
			go func() {
				// An error means that the node is down or frozen.
				_ = v.targets.sendHeartbeat(v.address(portReports), delay)
			}()
		}
	}
}

// stop stops all processes gracefully, and then the targets, proxies and store. It
// returns the errors of all of them, joined.
func (c *cluster) stop() error {
	var errs []error
	stopErrs := make(chan error, len(c.vms))
	for _, v := range c.vms {
		go func() {
			if v.process == nil || !v.process.Running() {
				stopErrs <- fmt.Errorf("%s is not running", v.name)
				return
			}
			stopErrs <- v.process.Stop(stopTimeout)
		}()
	}
	for range c.vms {
		errs = append(errs, <-stopErrs)
	}
	close(c.done)
	for _, v := range c.vms {
		errs = append(errs, v.targetLink.Close())
		v.targets.current().Stop()
	}
	if c.storeLink != nil {
		errs = append(errs, c.storeLink.Close())
	}
	if c.server != nil {
		errs = append(errs, c.server.Close())
	}
	return errors.Join(errs...)
}
