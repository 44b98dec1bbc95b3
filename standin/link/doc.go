// Package link relays TCP connections and can cut each direction, as a network partition does.
package link
