// Package limiter runs the rate limits of core/limit on a VM: it admits requests, borrows tokens from other VMs ahead of
// demand, grants tokens to them, and updates the share record when the set of live VMs changes.
package limiter
