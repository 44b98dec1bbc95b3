package balance

import "time"

// QueueDelay returns the expected queueing time of a request that has the given number of others ahead of it, when each connection
// is held for the given time on average.
func QueueDelay(ahead, connections int, hold time.Duration) time.Duration {
	return time.Duration(ahead) * hold / time.Duration(max(connections, 1))
}
