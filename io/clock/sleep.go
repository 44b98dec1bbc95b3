package clock

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Every calls the function after each interval until the context ends. Calls never overlap: a call that outlasts the interval
// delays the next one, and further ticks are dropped.
func Every(ctx context.Context, interval time.Duration, callback func()) {
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
