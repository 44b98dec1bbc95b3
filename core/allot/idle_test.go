package allot_test

import (
	"math/rand"
	"testing"
	"time"

	"dotterelgw/core/allot"
)

// Guards against idle connections that use up a server although few statements run. The case is 90 VMs and servers that accept
// 82 connections each, of which half must stay free for the processes that start after a power loss.
func TestKeep(t *testing.T) {
	const (
		usable         = 41
		statementsPerS = 0.55 // of one VM
		runTime        = 60 * time.Millisecond
	)
	for name, test := range map[string]struct {
		vms     int
		limited bool
	}{
		"more VMs than connections": {90, true}, "one connection per VM": {41, false}, "few VMs": {7, false},
	} {
		t.Run(name, func(t *testing.T) {
			idleTimeout := allot.IdleTimeout(usable, test.vms)
			if (idleTimeout > 0) != test.limited {
				t.Fatalf("idle timeout %v", idleTimeout)
			}
			random := rand.New(rand.NewSource(1))
			closes := make([]time.Duration, test.vms)
			peak := 0
			for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
				open := 0
				for vm := range closes {
					if random.Float64() < statementsPerS/1000 {
						closes[vm] = now + runTime + idleTimeout
						if idleTimeout == 0 {
							closes[vm] = time.Hour
						}
					}
					if closes[vm] > now {
						open++
					}
				}
				peak = max(peak, open)
			}
			if peak > usable {
				t.Errorf("%d connections open at a time, want %d at most", peak, usable)
			}
		})
	}
}
