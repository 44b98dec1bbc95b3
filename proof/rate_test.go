package proof

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

// Guards against more statements than rate and burst allow over all VMs together, while VMs are killed, paused and
// started again.
func TestRateHoldsOverTheFleet(t *testing.T) {
	allowed := limits{rate: 200, burst: 100}
	environment := start(t, 5, 0, allowed)
	began := time.Now()
	stop := began.Add(8 * time.Second)
	var admitted atomic.Int64
	var callers sync.WaitGroup
	for number := range environment.Size() {
		vm := fleet.VMID(number + 1)
		for range 2 {
			callers.Go(func() { environment.sendContinuously(vm, stop, &admitted) })
		}
	}
	time.Sleep(2 * time.Second)
	environment.VM("vm2").Kill()
	environment.must(environment.VM("vm3").Pause())
	time.Sleep(2 * time.Second)
	environment.must(environment.VM("vm3").Resume())
	environment.must(environment.StartVM(environment.ctx, 2))
	callers.Wait()
	elapsed := time.Since(began).Seconds()
	most := allowed.rate*elapsed + allowed.burst
	t.Logf("%d statements admitted in %.1f s, at most %.0f allowed", admitted.Load(), elapsed, most)
	if float64(admitted.Load()) > most {
		t.Errorf("%d statements admitted in %.1f s, at most %.0f allowed", admitted.Load(), elapsed, most)
	}
	if float64(admitted.Load()) < allowed.rate {
		t.Errorf("only %d statements admitted in %.1f s: the test saw too little", admitted.Load(), elapsed)
	}
}

// sendContinuously sends statements without a pause and reconnects when the VM is lost.
func (environment *environment) sendContinuously(vm ids.VMID, stop time.Time, admitted *atomic.Int64) {
	for time.Now().Before(stop) {
		conn, err := environment.connect(vm)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for time.Now().Before(stop) {
			if err = environment.exec(conn, "SELECT 1"); err == nil {
				admitted.Add(1)
			} else if sqlState(err) == "" {
				break
			}
		}
		_ = conn.Close(environment.ctx)
	}
}
