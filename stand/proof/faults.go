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

// killNode sends SIGKILL to a node and starts it again after restartDelay.
func (h *Harness) killNode(ctx context.Context, m *fleet.RunningVM) error {
	m.Node.Kill()
	sleep(ctx, restartDelay)
	return h.Fleet.StartNode(m)
}

// freezeNode suspends a node with SIGSTOP and resumes it after freezeLength.
func freezeNode(ctx context.Context, m *fleet.RunningVM) error {
	if err := m.Node.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleep(ctx, freezeLength)
	return m.Node.Signal(syscall.SIGCONT)
}

// injectNodeFaults alternately freezes and kills nodes in a random order in
// which each node occurs twice. Other nodes are killed or frozen while a node is
// still frozen.
func (h *Harness) injectNodeFaults(ctx context.Context) error {
	vms := h.Fleet.VMs
	order := append(h.Rng.Perm(len(vms)), h.Rng.Perm(len(vms))...)
	resumed := make(chan error, len(order))
	frozen := make(map[int]chan struct{})
	var errs []error
	freezes := 0
	for i, index := range order {
		sleep(ctx, faultInterval)
		if done, isFrozen := frozen[index]; isFrozen {
			<-done
		}
		if i%2 == 1 {
			errs = append(errs, h.killNode(ctx, vms[index]))
			continue
		}
		done := make(chan struct{})
		frozen[index] = done
		freezes++
		go func() {
			resumed <- freezeNode(ctx, vms[index])
			close(done)
		}()
	}
	for range freezes {
		errs = append(errs, <-resumed)
	}
	return errors.Join(errs...)
}
