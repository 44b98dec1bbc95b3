// Package leader tracks the primary of a group and the lease for which it is known to be the only one.
package leader
