package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"dotterelgw/core/balance"
)

// Pattern: many VMs send twice as much to one primary as it can run, and its queue is full. Guards against statements that come back so
// often that most attempts are turned away, and against statements given up although their time suffices for a slot.
func TestBusyPause(t *testing.T) {
	const (
		slots, queue = 4, 32
		work         = 20 * time.Millisecond
		perSecond    = 210
		surplus      = 420
		patience     = 600 * time.Millisecond
		step         = time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	type statement struct {
		sent, next time.Duration
		turned     int
	}
	var waiting []statement
	var running []time.Duration
	arrivals, attempts, served, givenUp := 0, 0, 0, 0
	for now := time.Duration(0); now < 4*time.Second; now += step {
		rate := perSecond * 3 / 4
		if now >= time.Second && now < 1300*time.Millisecond {
			rate = surplus
		}
		if random.Float64() < float64(rate)*step.Seconds() {
			arrivals++
			waiting = append(waiting, statement{sent: now, next: now})
		}
		kept := running[:0]
		for index, end := range running {
			// Only as many as there are slots run; the others wait behind them.
			if index < slots && end <= now {
				served++
				continue
			}
			if index >= slots {
				end = now + work
			}
			kept = append(kept, end)
		}
		running = kept
		left := waiting[:0]
		for _, one := range waiting {
			if one.next > now {
				left = append(left, one)
				continue
			}
			attempts++
			if len(running) < slots+queue {
				running = append(running, now+work)
				continue
			}
			one.next = now + balance.BusyPause(one.turned, random.Float64())
			one.turned++
			if one.next-one.sent > patience {
				givenUp++
				continue
			}
			left = append(left, one)
		}
		waiting = left
	}
	if attempts > 2*arrivals {
		t.Errorf("%d attempts for %d statements", attempts, arrivals)
	}
	if givenUp > arrivals/100 {
		t.Errorf("%d of %d statements were given up, %d served", givenUp, arrivals, served)
	}
}
