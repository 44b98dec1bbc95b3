// Package storetest is a conformance test suite for implementations of platform.Store and platform.Leases.
package storetest
