// Package freshness decides whether a VM may still admit requests and whether a change is accepted.
//
// The claim behind every confirmation: a VM that is confirmed at time c holds every change that was accepted before c.
// A read from the service proves it for the time at which the read was sent, because acceptance follows storage. A
// peer's confirmation proves it for the peer's time, and the peer's entries come with it. During an outage a majority
// proves it: a change is accepted only after a majority holds it, so a majority that holds nothing newer has met every
// accepted change.
package freshness
