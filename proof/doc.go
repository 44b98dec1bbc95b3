// Package proof holds tests that bring about failures among real processes: kills, pauses, partitions and outages. Its
// tests build the programs and start a fleet of stand-ins and proxies each.
package proof
