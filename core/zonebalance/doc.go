// Package zonebalance decides which part of the reads of a database group leaves the availability zone of their VM, and for which zones.
package zonebalance
