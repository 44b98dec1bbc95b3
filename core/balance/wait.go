package balance

import "time"

// Wait returns how long a request is expected to wait for a connection behind others, when each of the connections is held
// for the time on average.
func Wait(ahead, connections int, hold time.Duration) time.Duration {
	return time.Duration(ahead) * hold / time.Duration(max(connections, 1))
}
