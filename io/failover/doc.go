// Package failover watches database groups and promotes replicas of lost or leaving primaries.
package failover
