package proof

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/greengagewind/greengagewind/stand/fleet"
)

const (
	stopTimeout   = 25 * time.Second
	freezeLength  = 4 * time.Second
	restartDelay  = 300 * time.Millisecond
	faultInterval = 1500 * time.Millisecond
)

// killNode ends a node without a word and starts it again a little later.
func (b *Bench) killNode(ctx context.Context, m *fleet.RunningVM) error {
	m.Node.Kill()
	sleep(ctx, restartDelay)
	return b.Fleet.StartNode(m)
}

// freezeNode stops a node for a while and lets it go on.
func freezeNode(ctx context.Context, m *fleet.RunningVM) error {
	if err := m.Node.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleep(ctx, freezeLength)
	return m.Node.Signal(syscall.SIGCONT)
}

// strike kills or freezes the nodes of the fleet in a drawn order, twice each,
// and lets a frozen one lie while others are killed.
func (b *Bench) strike(ctx context.Context) error {
	machines := b.Fleet.VMs
	order := append(b.Rng.Perm(len(machines)), b.Rng.Perm(len(machines))...)
	thawed := make(chan error, len(order))
	frozen := make(map[int]chan struct{})
	var errs []error
	freezes := 0
	for turn, index := range order {
		sleep(ctx, faultInterval)
		if ends, lies := frozen[index]; lies {
			<-ends
		}
		if turn%2 == 1 {
			errs = append(errs, b.killNode(ctx, machines[index]))
			continue
		}
		ends := make(chan struct{})
		frozen[index] = ends
		freezes++
		go func() {
			thawed <- freezeNode(ctx, machines[index])
			close(ends)
		}()
	}
	for range freezes {
		errs = append(errs, <-thawed)
	}
	return errors.Join(errs...)
}
