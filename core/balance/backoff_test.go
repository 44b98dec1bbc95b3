package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"dotterelgw/core/balance"
)

// Guards against retries so frequent that most attempts are rejected, and against statements that reach their timeout although a
// slot becomes free in time. Many VMs send one primary twice its capacity, so its queue is full.
func TestBusyPause(t *testing.T) {
	const (
		slots, queue = 4, 32
		runTime      = 20 * time.Millisecond
		capacity     = 210 // statements a second
		overload     = 420 // statements a second
		timeout      = 600 * time.Millisecond
		step         = time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	type statement struct {
		sent, next time.Duration
		rejections int
	}
	var waiting []statement
	var running []time.Duration
	arrivals, attempts, served, timedOut := 0, 0, 0, 0
	for now := time.Duration(0); now < 4*time.Second; now += step {
		rate := capacity * 3 / 4
		if now >= time.Second && now < 1300*time.Millisecond {
			rate = overload
		}
		if random.Float64() < float64(rate)*step.Seconds() {
			arrivals++
			waiting = append(waiting, statement{sent: now, next: now})
		}
		unfinished := running[:0]
		for index, end := range running {
			// Statements beyond the slots are queued and don't run yet.
			if index < slots && end <= now {
				served++
				continue
			}
			if index >= slots {
				end = now + runTime
			}
			unfinished = append(unfinished, end)
		}
		running = unfinished
		remaining := waiting[:0]
		for _, one := range waiting {
			if one.next > now {
				remaining = append(remaining, one)
				continue
			}
			attempts++
			if len(running) < slots+queue {
				running = append(running, now+runTime)
				continue
			}
			one.next = now + balance.BusyBackoff(one.rejections, random.Float64())
			one.rejections++
			if one.next-one.sent > timeout {
				timedOut++
				continue
			}
			remaining = append(remaining, one)
		}
		waiting = remaining
	}
	if attempts > 2*arrivals {
		t.Errorf("%d attempts for %d statements", attempts, arrivals)
	}
	if timedOut > arrivals/100 {
		t.Errorf("%d of %d statements timed out, %d served", timedOut, arrivals, served)
	}
}
