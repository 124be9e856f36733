package mesh

import (
	"context"
	"time"
)

// every calls callback once per interval until ctx ends.
func every(ctx context.Context, interval time.Duration, callback func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			callback()
		}
	}
}

// sleep returns after duration, or earlier when ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
