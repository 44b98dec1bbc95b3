// Package control keeps the configuration, the membership view and the freshness of one VM.
//
// A controller exchanges heartbeats and configuration deltas with its partners every 500 ms. While its VM is a relay of
// its availability zone, it also watches the key-value service. The data path reads the results through atomic pointers.
package control
