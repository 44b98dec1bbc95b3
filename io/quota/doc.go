// Package quota limits the operations of each organisation to its rate over all VMs, which borrow from each other by datagrams.
package quota
