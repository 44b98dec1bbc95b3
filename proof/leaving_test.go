package proof

import (
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/standin/fleet"
)

// leavingBound is the time after which a leaving backend server gets no new work; see docs/design.md, section 1.1.
const leavingBound = 3 * time.Second

// observedAfter is how long the test watches for new statements after the bound.
const observedAfter = time.Second

// sentAt finds the time in nanoseconds at which a caller sent a statement that arrived at a database.
var sentAt = regexp.MustCompile(`sent-([0-9]{19})-`)

// Guards against new statements at a backend server that is leaving, as the VM list or the server itself states it, also
// when it is the primary, and against writes that such a change of primary loses.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	byList := func(environment *environment, server ids.BackendServerID) {
		environment.must(environment.SetLeaving(environment.ctx, string(server), true))
	}
	bySwitch := func(environment *environment, server ids.BackendServerID) {
		environment.switches(server, map[string]any{"leaving": true})
	}
	for name, test := range map[string]struct {
		server ids.BackendServerID
		leave  func(*environment, ids.BackendServerID)
	}{
		"replica by list":   {"g1-b", byList},
		"replica by switch": {"g1-b", bySwitch},
		"primary by list":   {"g1-a", byList},
		"primary by switch": {"g1-a", bySwitch},
	} {
		t.Run(name, func(t *testing.T) {
			environment := startWith(t, ample, func(options *fleet.Options) { options.Capture = true })
			environment.terms().await("g1", "steady", 0)
			ledger := environment.writeThrough("vm1", "vm2", "vm3")
			stop := make(chan struct{})
			var readers sync.WaitGroup
			for number := range environment.Size() {
				readers.Go(func() { environment.readUntil(fleet.VMID(number+1), stop) })
			}
			capture := string(test.server) + ".capture"
			environment.within(testTimeout, "statements at "+string(test.server), func() bool {
				return len(environment.arrivals(capture)) > 0
			})
			test.leave(environment, test.server)
			left := time.Now()
			time.Sleep(leavingBound + observedAfter) // the observation period
			close(stop)
			readers.Wait()
			ledger.check("vm1")
			if ledger.acknowledgedBy("", left.Add(leavingBound)).IsZero() {
				t.Errorf("no write was acknowledged later than %s after the server was to leave", leavingBound)
			}
			late := 0
			for _, sent := range environment.arrivals(capture) {
				if sent.After(left.Add(leavingBound)) {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d statements arrived at %s that were sent later than %s after it was to leave", late, test.server, leavingBound)
			}
		})
	}
}

// readUntil sends reads and transactions that state when they were sent, over long-lived sessions.
func (environment *environment) readUntil(vm ids.VMID, stop <-chan struct{}) {
	conn, err := environment.connect(vm)
	if err != nil {
		environment.t.Errorf("connecting to %s: %v", vm, err)
		return
	}
	defer func() { _ = conn.Close(environment.ctx) }()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		default:
		}
		mark := fmt.Sprintf("sent-%d-", time.Now().UnixNano())
		sql := "SELECT count(*) FROM ledger WHERE CAST(id AS TEXT) = $1"
		if number%2 == 1 { // a write that changes nothing needs the primary
			sql = "UPDATE ledger SET id = id WHERE CAST(id AS TEXT) = $1"
		}
		if err := environment.exec(conn, sql, mark); conn.IsClosed() {
			environment.t.Errorf("reading through %s: %v", vm, err)
			return
		}
		time.Sleep(writePause)
	}
}

// arrivals returns when the statements in the capture were sent.
func (environment *environment) arrivals(capture string) []time.Time {
	environment.t.Helper()
	var times []time.Time
	for _, text := range environment.read(capture) {
		for _, match := range sentAt.FindAllSubmatch(text, -1) {
			nanoseconds, err := strconv.ParseInt(string(match[1]), 10, 64)
			environment.must(err)
			times = append(times, time.Unix(0, nanoseconds))
		}
	}
	return times
}
