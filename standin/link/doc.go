// Package link is a TCP relay that can block each direction separately, to simulate a network partition.
package link
