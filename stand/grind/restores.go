package grind

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/greengagewind/greengagewind/stand/plat"
)

const (
	// copyInterval is the time between two copies of the store, and maxCopies how many of
	// them are kept.
	copyInterval = time.Second
	maxCopies    = 15
	// maxRestoreTime bounds the outage before the store comes back from a copy, and
	// maxRewriteDelay the time until the operator has written again what the copy lacks.
	maxRestoreTime  = 2 * time.Second
	maxRewriteDelay = 500 * time.Millisecond
)

// keepCopies copies the store regularly until done is closed.
func (c *cluster) keepCopies() {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		c.copies = append(c.copies, c.store.Copy())
		c.copies = c.copies[max(0, len(c.copies)-maxCopies):]
		c.mu.Unlock()
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
	}
}

// restoreStore takes the store away and brings it back from one of the copies. The
// operator then writes again what it has written since. It returns a description.
func (c *cluster) restoreStore(ctx context.Context, random *rand.Rand) string {
	c.mu.Lock()
	older := c.copies[random.IntN(len(c.copies))]
	c.mu.Unlock()
	outage := time.Duration(random.Int64N(int64(maxRestoreTime)))
	delay := time.Duration(random.Int64N(int64(maxRewriteDelay)))
	c.background.Go(func() { c.restoreFrom(ctx, older, outage, delay) })
	return fmt.Sprintf("store comes back from a copy after %s, written again %s later", outage, delay)
}

// restoreFrom takes the store away for the time outage and brings it back from a copy.
// After the time delay the operator writes again.
func (c *cluster) restoreFrom(ctx context.Context, older plat.Copy, outage, delay time.Duration) {
	c.history.addDisturbance(storeName, time.Now(), outage+delay)
	c.store.SetFault(plat.StoreUnavailable)
	sleep(ctx, outage)
	c.store.Restore(older)
	c.store.SetFault(plat.StoreHealthy)
	sleep(ctx, delay)
	c.operator.writeAgain()
}

// drillRestore brings the store back from its oldest copy, waits until the nodes count as
// undisturbed, and changes a route.
func (c *cluster) drillRestore(ctx context.Context) {
	c.mu.Lock()
	oldest := c.copies[0]
	c.mu.Unlock()
	c.restoreFrom(ctx, oldest, maxRestoreTime/2, maxRewriteDelay/2)
	sleep(ctx, settleTime)
	c.logEvent(c.operator.toggleRouteNow() + " after the store came back from its oldest copy")
}

func (o *operator) toggleRouteNow() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.toggleRoute()
}

// writeAgain writes the present configuration and evacuation again.
func (o *operator) writeAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Put("op/config", o.document())
	for _, zone := range zoneNames {
		if zone == o.closedZone {
			o.store.Put("op/evacuate/"+zone, []byte("{}"))
		} else {
			o.store.Remove("op/evacuate/" + zone)
		}
	}
	o.history.addChange(Change{At: time.Now(), Kind: WrittenAgain})
}
