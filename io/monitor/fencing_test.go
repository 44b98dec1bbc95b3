package monitor

import (
	"io"
	"testing"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/io/clock"
	"dotterelgw/io/observe"
)

// A write completes on a primary that is being replaced. Guards against acknowledging a write that the successor lacks,
// refusing one that it holds, and making the caller wait beyond the statement's deadline.
func TestAcknowledge(t *testing.T) {
	const term ids.Term = 2
	at := func(log ids.LogPosition) position.Position { return position.Position{Term: 1, Log: log} }
	for name, test := range map[string]struct {
		end  func(group *Group)
		wait time.Duration
		want bool
	}{
		"the successor holds it": {func(group *Group) { group.PrimaryPromoted(term, at(5)) }, 5 * time.Second, true},
		"the successor lacks it": {func(group *Group) { group.PrimaryPromoted(term, at(4)) }, 5 * time.Second, false},
		"nobody was promoted":    {func(group *Group) { group.Release(term) }, 5 * time.Second, true},
		"no decision in time":    {func(*Group) {}, 30 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			eventLog := observe.NewEventLog(io.Discard, "vm1")
			defer eventLog.Close(time.Second)
			group := newGroup("g", New(t.Context(), nil, "z", eventLog))
			group.Assure(clock.Now())
			if !group.Acknowledge(time.Now().Add(time.Second), at(3)) {
				t.Fatal("without a replacement: not acknowledged")
			}
			if last := group.Fence(term); last != at(3) {
				t.Errorf("last acknowledged %v, want %v", last, at(3))
			}
			result := make(chan bool, 1)
			go func() { result <- group.Acknowledge(time.Now().Add(test.wait), at(5)) }()
			select {
			case <-result:
				t.Fatal("decided while the replacement goes on")
			case <-time.After(10 * time.Millisecond):
			}
			test.end(group)
			if got := <-result; got != test.want {
				t.Errorf("acknowledged %t, want %t", got, test.want)
			}
			if last := group.Fence(term + 1); (last == at(5)) != test.want {
				t.Errorf("last acknowledged %v", last)
			}
		})
	}
}
