package promoter

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"dotterelgw/io/observe"
)

// Hundreds of VMs wait for the duty, and none knows the others when its wait begins. Guards against all of them querying
// the store repeatedly, and against a vacancy that the first candidates miss because the notification is lost.
func TestWaitForDuty(t *testing.T) {
	for name, test := range map[string]struct{ before, after, returns int }{
		"a first candidate":              {0, 0, 15},
		"a late candidate":               {0, 50, 600},
		"a first candidate from then on": {50, 2, 15},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eventLog := observe.NewEventLog(io.Discard, "vm1")
				defer eventLog.Close(time.Second)
				began := time.Now()
				rank := func() int {
					if time.Since(began) == 0 {
						return test.before
					}
					return test.after
				}
				duty := newDuty("vm1", nil, rank, eventLog)
				duty.waitForVacancy(context.Background())
				if waited := time.Since(began); waited != time.Duration(test.returns)*time.Second {
					t.Errorf("returned after %v, want %d s", waited, test.returns)
				}
			})
		})
	}
}
