// Package limit distributes an organisation's rate limit over the fleet. The budget is divided into equal parts; the VMs that
// hold them lend tokens to the VMs that need them, as grants that expire.
package limit
