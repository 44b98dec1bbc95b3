// Package storetest holds the tests that every client of a key-value service must pass.
package storetest
