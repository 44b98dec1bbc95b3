// Package quota divides the rate limit of an organisation among the VMs, which lend each other unused operations.
package quota
