// Package position compares positions in a group's log across terms and encodes them in session tokens.
package position
