package allot_test

import (
	"math/rand"
	"testing"
	"time"

	"dotterelgw/core/allot"
)

// Pattern: 90 VMs before servers that take 82 connections each, of which half is to stay free for the processes that follow a
// loss of power. Guards against idle connections that fill a server although few statements run.
func TestKeep(t *testing.T) {
	const (
		usable = 41
		perVM  = 0.55
		hold   = 60 * time.Millisecond
	)
	for name, test := range map[string]struct {
		vms    int
		bounds bool
	}{
		"more VMs than connections": {90, true}, "a connection for each VM": {41, false}, "few VMs": {7, false},
	} {
		t.Run(name, func(t *testing.T) {
			keep := allot.Keep(usable, test.vms)
			if (keep > 0) != test.bounds {
				t.Fatalf("idle connections are kept for %v", keep)
			}
			random := rand.New(rand.NewSource(1))
			closes := make([]time.Duration, test.vms)
			most := 0
			for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
				open := 0
				for vm := range closes {
					if random.Float64() < perVM/1000 {
						closes[vm] = now + hold + keep
						if keep == 0 {
							closes[vm] = time.Hour
						}
					}
					if closes[vm] > now {
						open++
					}
				}
				most = max(most, open)
			}
			if most > usable {
				t.Errorf("%d connections at a time, want %d at most", most, usable)
			}
		})
	}
}
