// Package admin is the administration API of a VM, with health, readiness, metrics and the records of refusals.
package admin
