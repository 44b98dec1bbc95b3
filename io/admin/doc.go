// Package admin implements the administration API of a VM, including health, readiness, metrics and records of refusals.
package admin
