// Package limit decides how an organisation's rate and burst are shared over the fleet: holders own equal parts of the
// budget and lend it to the VMs that need it, as grants that expire.
package limit
