// Rig2 plays the scripts of the second review: it starts nodes as separate processes on loopback addresses, in front of stand-ins for the
// store, the promotion service, the databases and the clients, and checks one rule by what these have seen.
package main
