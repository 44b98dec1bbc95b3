// Package limiter executes core/limit: it admits requests, borrows grants from other VMs ahead of demand, lends to them,
// and keeps the share record in step with the live VMs.
package limiter
