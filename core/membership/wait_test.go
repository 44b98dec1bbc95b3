package membership_test

import (
	"testing"
	"time"

	"dotterelgw/core/membership"
)

// Guards against members that count as lost while they could not be seen, and against a wait without end.
func TestWait(t *testing.T) {
	type attempt struct {
		at    time.Duration
		waits bool
		known bool
	}
	const second = time.Second
	for name, test := range map[string]struct {
		attempts []attempt
		want     bool
	}{
		"no attempt":                   {nil, false},
		"waits all the time":           {[]attempt{{second, true, true}, {20 * second, true, true}}, true},
		"began a moment ago":           {[]attempt{{35 * second, true, true}}, false},
		"not waiting in between":       {[]attempt{{second, true, true}, {20 * second, false, true}, {30 * second, true, true}}, false},
		"registrations not known":      {[]attempt{{second, true, false}, {20 * second, true, false}}, false},
		"registrations known just now": {[]attempt{{second, true, true}, {20 * second, true, false}, {39 * second, true, true}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var wait membership.Wait
			for _, attempt := range test.attempts {
				wait.Update(attempt.at, attempt.waits, attempt.known)
			}
			if got := wait.IsOverdue(40 * second); got != test.want {
				t.Errorf("overdue: %t after %v, want %t", got, wait.For(40*second), test.want)
			}
		})
	}
}
