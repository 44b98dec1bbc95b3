// Package freshness decides whether a VM may still admit requests and whether a configuration change is accepted.
//
// Invariant: a VM that is confirmed at time c holds every change that was accepted before c. There are three proofs of it:
//
//   - A read from the key-value service proves it for the time at which the read was sent, because a change is accepted only
//     after the service has stored it.
//   - A peer's confirmation proves it for the time of that confirmation, because the peer's entries are transferred with it.
//   - While the service is down, a majority of the VMs proves it: a change is accepted only after a majority holds it,
//     and any two majorities share a VM, so a majority that holds nothing newer has seen every accepted change.
package freshness
