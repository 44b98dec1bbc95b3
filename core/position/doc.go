// Package position holds positions in a group's log, term histories and session tokens.
package position
