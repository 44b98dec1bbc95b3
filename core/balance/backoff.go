package balance

import "time"

const (
	// firstPause is the pause after a server had no slot for a statement the first time.
	firstPause = 10 * time.Millisecond
	// longestPause bounds the pause after further times.
	longestPause = 160 * time.Millisecond
)

// BusyPause returns how long to wait before a statement is sent again to a server that had no slot for it the given number of times
// before. Jitter from 0 to 1 spreads the VMs over the second half of the pause: of many that come back at once, most would find no
// slot again.
func BusyPause(before int, jitter float64) time.Duration {
	pause := firstPause
	for range before {
		pause = min(2*pause, longestPause)
	}
	return pause/2 + time.Duration(jitter*float64(pause)/2)
}
