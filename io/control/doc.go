// Package control keeps the configuration, the membership view and the freshness of one VM.
//
// A controller exchanges heartbeats and configuration deltas with its partners every 500 ms, watches the key-value
// service while it is a relay of its availability zone, and publishes what the data path reads through atomic pointers.
package control
