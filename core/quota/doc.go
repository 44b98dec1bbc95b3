// Package quota divides the rate of an organisation over the VMs, which lend each other what they do not need.
package quota
