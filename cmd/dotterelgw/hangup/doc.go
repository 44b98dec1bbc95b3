// Package hangup receives SIGHUP from the initialisation of the program on. It imports nothing but the standard library, so that it is
// initialised before the packages that take milliseconds for it.
package hangup
