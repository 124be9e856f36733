package grind

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/greengagewind/greengagewind/stand/plat"
	"github.com/greengagewind/greengagewind/stand/proxy"
)

const (
	// minActionGap and maxActionGap bound the random pause between two actions.
	minActionGap = 200 * time.Millisecond
	maxActionGap = 1500 * time.Millisecond
	// maxFaultTime is the maximum duration of a fault that lasts for some time,
	// such as a frozen process or an outage of the store.
	maxFaultTime = 4 * time.Second
)

// Plan selects the kinds of actions in a soak.
type Plan string

// The plans.
const (
	// PlanAll mixes faults with maintenance.
	PlanAll Plan = "All"
	// PlanWork is maintenance alone: planned stops, changes of the
	// configuration, evacuations of zones, and replaced targets.
	PlanWork Plan = "Work"
)

// runAction injects one fault or performs one maintenance action, and then waits
// for a random pause. A fault may last longer than this pause, because it ends in
// the background. So actions may overlap.
func (c *cluster) runAction(ctx context.Context, random *rand.Rand) {
	v := c.vms[random.IntN(len(c.vms))]
	duration := time.Duration(random.Int64N(int64(maxFaultTime)))
	const faultKinds, maintenanceKinds = 10, 4
	kind := random.IntN(faultKinds + maintenanceKinds)
	if c.options.Plan == PlanWork {
		kind = faultKinds + kind%maintenanceKinds
	}
	description := ""
	if kind < faultKinds {
		description = c.injectFault(ctx, random, kind, v, duration)
	} else {
		description = c.performMaintenance(ctx, random, kind-faultKinds, v)
	}
	c.logEvent(fmt.Sprintf("%s at %s for %s", description, v.name, duration))
	sleep(ctx, minActionGap+time.Duration(random.Int64N(int64(maxActionGap-minActionGap))))
}

// The pause between two side actions, and the times for which a target names a rate limit.
// The limit is checked from settleTime after it was named.
const (
	maxSideActionGap = 3 * time.Second
	minLimitTime     = settleTime + time.Second
	maxLimitTime     = settleTime + 2*limitWindow
	maxNamedLimit    = 40
)

// runSideActions runs actions beside those of runAction until ctx ends: connections fall
// silent, the store comes back from a copy, targets name rate limits, and targets leave that
// announce it in their responses only. The actions of runAction that a seed stands for do
// not depend on them.
func (c *cluster) runSideActions(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		v := c.vms[random.IntN(len(c.vms))]
		const faultKinds, targetKinds = 5, 2
		kind := random.IntN(faultKinds + targetKinds)
		if c.options.Plan == PlanWork {
			kind = faultKinds + kind%targetKinds
		}
		c.logEvent(c.runSideAction(ctx, random, kind, v) + " at " + v.name)
		sleep(ctx, time.Duration(random.Int64N(int64(maxSideActionGap))))
	}
}

// runSideAction runs one side action and returns its description.
func (c *cluster) runSideAction(ctx context.Context, random *rand.Rand, kind int, v *vm) string {
	switch kind {
	case 0:
		c.history.addDisturbance(storeName, time.Now(), 0)
		c.storeLink.Stall()
		return "open connections to the store fall silent"
	case 1:
		c.history.addDisturbance(v.name, time.Now(), 0)
		v.targetLink.Stall()
		return "open connections to the target fall silent"
	case 2:
		return c.restoreStore(ctx, random)
	case 3:
		says := byHeartbeat
		if random.IntN(2) == 0 {
			says = byDeregistration
		}
		c.background.Add(1)
		go func() {
			defer c.background.Done()
			c.killAfterLeaving(ctx, v, says)
		}()
		return "the target leaves, and its node is killed"
	case 4:
		c.moveTarget(ctx, v)
		return "the address goes to a target of another service"
	case 5:
		rate := random.IntN(maxNamedLimit)
		c.limitRate(ctx, v, rate, minLimitTime+time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime))))
		return fmt.Sprintf("target names a limit of %d requests per second", rate)
	}
	c.replaceQuietTarget(ctx, v)
	return "replace the target, which announces it in its responses only"
}

// performMaintenance performs one maintenance action and returns its
// description.
func (c *cluster) performMaintenance(ctx context.Context, random *rand.Rand, kind int, v *vm) string {
	switch kind {
	case 0:
		c.restartProcess(v)
		return "stop"
	case 1:
		c.replaceTarget(ctx, v, random)
		return "replace the target"
	}
	return c.operator.makeRandomChange(random)
}

// injectFault injects one fault and returns its description.
func (c *cluster) injectFault(ctx context.Context, random *rand.Rand, kind int, v *vm, duration time.Duration) string {
	switch kind {
	case 0:
		c.killProcess(v)
		return "kill"
	case 1:
		for _, other := range c.vms {
			c.killProcess(other)
		}
		return "kill all"
	case 2:
		c.freeze(ctx, v, duration)
		return "freeze"
	case 3:
		c.injectStoreFault(ctx, plat.StoreResets, duration)
		return "store resets"
	case 4:
		c.injectStoreFault(ctx, plat.StoreUnavailable, duration)
		return "store busy"
	case 5:
		c.injectStoreFault(ctx, plat.StoreLosesAnswers, duration)
		return "store loses answers"
	case 6:
		c.store.Compact()
		return "store compacts its history"
	case 7:
		faults := []plat.TargetFault{plat.TargetRejects, plat.TargetLosesAnswers, plat.TargetTruncates, plat.TargetUnsigned, plat.TargetFails}
		fault := faults[random.IntN(len(faults))]
		c.injectTargetFault(ctx, v, fault, duration)
		return "target " + string(fault)
	case 8:
		c.history.addDisturbance(targetsName, time.Now(), duration)
		injectLinkFault(ctx, v.targetLink, linkFaults[random.IntN(len(linkFaults))], duration)
		return "link to the target"
	}
	c.history.addDisturbance(storeName, time.Now(), duration)
	injectLinkFault(ctx, c.storeLink, linkFaults[random.IntN(len(linkFaults))], duration)
	return "link to the store"
}

// killProcess kills the process of a VM and starts it again.
func (c *cluster) killProcess(v *vm) {
	c.history.addDisturbance(v.name, time.Now(), restartTime)
	v.process.Kill()
	v.frozen = false
	c.startProcessAgain(v)
}

// restartProcess stops the process of a VM gracefully and starts it again.
func (c *cluster) restartProcess(v *vm) {
	if v.frozen {
		return
	}
	start := time.Now()
	if err := v.process.Stop(stopTimeout); err != nil {
		c.logEvent(err.Error())
	}
	c.startProcessAgain(v)
	c.history.addStop(v.name, start, time.Now().Add(restartTime))
}

func (c *cluster) startProcessAgain(v *vm) {
	if err := c.startProcess(v); err != nil {
		c.logEvent(err.Error())
	}
}

// freeze suspends the process of a VM with SIGSTOP for the given duration.
func (c *cluster) freeze(ctx context.Context, v *vm, duration time.Duration) {
	if v.frozen || v.process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	v.frozen = true
	c.history.addDisturbance(v.name, time.Now(), duration)
	process := v.process
	go func() {
		sleep(ctx, duration)
		// The process may have been killed in the meantime, which is no error.
		_ = process.Signal(syscall.SIGCONT)
	}()
}

func (c *cluster) injectStoreFault(ctx context.Context, fault plat.StoreFault, duration time.Duration) {
	c.history.addDisturbance(storeName, time.Now(), duration)
	c.store.SetFault(fault)
	go func() {
		sleep(ctx, duration)
		c.store.SetFault(plat.StoreHealthy)
	}()
}

func (c *cluster) injectTargetFault(ctx context.Context, v *vm, fault plat.TargetFault, duration time.Duration) {
	c.history.addDisturbance(targetsName, time.Now(), duration)
	target := v.targets.current()
	target.SetFault(fault)
	go func() {
		sleep(ctx, duration)
		target.SetFault(plat.TargetHealthy)
	}()
}

// linkFaults are the faults of connections to targets and to the store.
var linkFaults = []proxy.Fault{proxy.Delayed, proxy.Reset, proxy.OneWay, proxy.Silent}

// injectLinkFault injects a fault into a connection for the given duration.
func injectLinkFault(ctx context.Context, link *proxy.Proxy, fault proxy.Fault, duration time.Duration) {
	link.SetFault(fault)
	go func() {
		sleep(ctx, duration)
		link.SetFault(proxy.Clean)
	}()
}

// endFaults waits until all target replacements are complete. It then ends all
// faults and, if a zone is being evacuated, the evacuation.
func (c *cluster) endFaults() {
	c.background.Wait()
	c.operator.reopenZone()
	c.store.SetFault(plat.StoreHealthy)
	c.storeLink.SetFault(proxy.Clean)
	for _, v := range c.vms {
		v.targets.current().SetFault(plat.TargetHealthy)
		v.targetLink.SetFault(proxy.Clean)
		// SIGCONT has no effect on a process that is not suspended.
		_ = v.process.Signal(syscall.SIGCONT)
		v.frozen = false
	}
}
