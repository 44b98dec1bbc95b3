// Package proof tests the system under process kills, pauses, partitions and outages. The programs are built once, and
// each test starts its own fleet of proxies and stand-ins.
package proof
