// Package quota admits operations by the rate of each organisation over all VMs, which lend each other by datagrams.
package quota
