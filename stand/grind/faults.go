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
	minGap = 200 * time.Millisecond
	maxGap = 1500 * time.Millisecond
	// longest is how long a freeze or an outage of the store lasts at most.
	longest = 4 * time.Second
)

// Plan is what a soak brings about.
type Plan string

// The plans.
const (
	// PlanAll mixes faults with planned work.
	PlanAll Plan = "All"
	// PlanWork is planned work alone: stops, changes of configuration, targets
	// that leave and come.
	PlanWork Plan = "Work"
)

// act brings about one fault or one piece of planned work and waits until the
// next is due. They overlap: what ends by itself does so in the background.
func (p *place) act(ctx context.Context, random *rand.Rand) {
	m := p.machines[random.IntN(len(p.machines))]
	lasts := time.Duration(random.Int64N(int64(longest)))
	const faultKinds, workKinds = 10, 4
	kind := random.IntN(faultKinds + workKinds)
	if p.options.Plan == PlanWork {
		kind = faultKinds + kind%workKinds
	}
	what := ""
	if kind < faultKinds {
		what = p.fault(ctx, random, kind, m, lasts)
	} else {
		what = p.work(ctx, random, kind-faultKinds, m)
	}
	p.note(fmt.Sprintf("%s at %s for %s", what, m.name, lasts))
	pause(ctx, minGap+time.Duration(random.Int64N(int64(maxGap-minGap))))
}

// work brings about planned work.
func (p *place) work(ctx context.Context, random *rand.Rand, kind int, m *machine) string {
	switch kind {
	case 0:
		p.restart(m)
		return "stop"
	case 1:
		p.replace(ctx, m, random)
		return "replace the target"
	}
	return p.operator.alter(random)
}

// fault brings about one fault.
func (p *place) fault(ctx context.Context, random *rand.Rand, kind int, m *machine, lasts time.Duration) string {
	switch kind {
	case 0:
		p.kill(m)
		return "kill"
	case 1:
		for _, all := range p.machines {
			p.kill(all)
		}
		return "kill all"
	case 2:
		p.freeze(ctx, m, lasts)
		return "freeze"
	case 3:
		p.storeFault(ctx, plat.StoreReset, lasts)
		return "store resets"
	case 4:
		p.storeFault(ctx, plat.StoreBusy, lasts)
		return "store busy"
	case 5:
		p.storeFault(ctx, plat.StoreLost, lasts)
		return "store loses answers"
	case 6:
		p.store.Forget()
		return "store forgets"
	case 7:
		faults := []plat.TargetFault{plat.TargetFull, plat.TargetLost, plat.TargetBroken, plat.TargetUnsigned, plat.TargetFails}
		fault := faults[random.IntN(len(faults))]
		p.targetFault(ctx, m, fault, lasts)
		return "target " + string(fault)
	case 8:
		p.history.disturb(targetsName, time.Now(), lasts)
		disturb(ctx, m.link, links[random.IntN(len(links))], lasts)
		return "link to the target"
	}
	p.history.disturb(theStore, time.Now(), lasts)
	disturb(ctx, p.link, links[random.IntN(len(links))], lasts)
	return "link to the store"
}

// kill ends a process without notice and starts it again.
func (p *place) kill(m *machine) {
	p.history.disturb(m.name, time.Now(), startTime)
	m.process.Kill()
	m.frozen = false
	p.runAgain(m)
}

// restart ends a process as planned and starts it again.
func (p *place) restart(m *machine) {
	if m.frozen {
		return
	}
	begun := time.Now()
	if err := m.process.Stop(stopTimeout); err != nil {
		p.note(err.Error())
	}
	p.runAgain(m)
	p.history.stop(m.name, begun, time.Now().Add(startTime))
}

func (p *place) runAgain(m *machine) {
	if err := p.run(m); err != nil {
		p.note(err.Error())
	}
}

// freeze stops a process for a while.
func (p *place) freeze(ctx context.Context, m *machine, lasts time.Duration) {
	if m.frozen || m.process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	m.frozen = true
	p.history.disturb(m.name, time.Now(), lasts)
	process := m.process
	go func() {
		pause(ctx, lasts)
		// The process may have been killed in the meantime.
		_ = process.Signal(syscall.SIGCONT)
	}()
}

func (p *place) storeFault(ctx context.Context, fault plat.StoreFault, lasts time.Duration) {
	p.history.disturb(theStore, time.Now(), lasts)
	p.store.SetFault(fault)
	go func() {
		pause(ctx, lasts)
		p.store.SetFault(plat.StoreSound)
	}()
}

func (p *place) targetFault(ctx context.Context, m *machine, fault plat.TargetFault, lasts time.Duration) {
	p.history.disturb(targetsName, time.Now(), lasts)
	target := m.lives.target()
	target.SetFault(fault)
	go func() {
		pause(ctx, lasts)
		target.SetFault(plat.TargetSound)
	}()
}

// links are the faults of connections to targets and to the store.
var links = []proxy.Fault{proxy.Delayed, proxy.Reset, proxy.OneWay, proxy.Silent}

// disturb disturbs a link for a while.
func disturb(ctx context.Context, link *proxy.Proxy, fault proxy.Fault, lasts time.Duration) {
	link.SetFault(fault)
	go func() {
		pause(ctx, lasts)
		link.SetFault(proxy.Clean)
	}()
}

// mend ends all faults, and waits for what was begun.
func (p *place) mend() {
	p.background.Wait()
	p.operator.settle()
	p.store.SetFault(plat.StoreSound)
	p.link.SetFault(proxy.Clean)
	for _, m := range p.machines {
		m.lives.target().SetFault(plat.TargetSound)
		m.link.SetFault(proxy.Clean)
		// Whether it was stopped or not, the process goes on from here.
		_ = m.process.Signal(syscall.SIGCONT)
		m.frozen = false
	}
}
