package quota

import "time"

const (
	// trafficRate bounds what a VM sends as requests, and as much again as loans, in bytes a second. Of the 16 KB/s that a VM may
	// send for control, the rest is for the observations of servers and the records of the store.
	trafficRate = 5 << 10
	// trafficBurst is the number of bytes that may be sent at once, when many organisations begin to send after a start.
	trafficBurst = 5 << 10
	// messageBytes and itemBytes are the sizes of a datagram without items and of one item.
	messageBytes = 80
	itemBytes    = 20
	// maxAsksPerSecond is the number of requests a second for one organisation above which a lender that is empty tells the VMs to
	// pause.
	maxAsksPerSecond = 25
	// maxPause bounds the pause that a lender tells.
	maxPause = 4 * time.Second
)

// traffic bounds the bytes that a VM sends. Its balance may become negative by the messages of one decision. The zero value is
// ready to use.
type traffic struct {
	spent   float64
	updated time.Duration
}

// below reports whether the traffic is below its bound.
func (traffic *traffic) below(now time.Duration) bool {
	if now > traffic.updated {
		traffic.spent = max(traffic.spent-trafficRate*(now-traffic.updated).Seconds(), 0)
		traffic.updated = now
	}
	return traffic.spent < trafficBurst
}

// count counts a message with some items.
func (traffic *traffic) count(items int) { traffic.spent += float64(messageBytes + items*itemBytes) }

// pauseFor returns how long a VM should wait before it asks a lender again that gets the given number of requests a second, 0 if
// they are few.
func pauseFor(asksPerSecond float64) time.Duration {
	if asksPerSecond <= maxAsksPerSecond {
		return 0
	}
	return min(time.Duration(asksPerSecond/maxAsksPerSecond*float64(maxAskInterval)), maxPause)
}

// rateWindow counts events in windows of one second. The zero value is ready to use.
type rateWindow struct {
	start             time.Duration
	current, previous int64
	// total is the number of events ever.
	total int64
}

// add counts some events.
func (window *rateWindow) add(now time.Duration, events int64) {
	window.roll(now)
	window.current += events
	window.total += events
}

// perSecond returns the number of events in the current or the previous window, whichever is larger.
func (window *rateWindow) perSecond(now time.Duration) float64 {
	window.roll(now)
	return float64(max(window.current, window.previous))
}

func (window *rateWindow) roll(now time.Duration) {
	elapsed := now - window.start
	if elapsed < time.Second {
		return
	}
	window.previous = window.current
	if elapsed >= 2*time.Second {
		window.previous = 0
	}
	window.current, window.start = 0, now
}
