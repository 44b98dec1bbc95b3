// Package budget divides a fixed number of bytes and connections among callers, and decides whose connection is closed when they run short.
package budget
