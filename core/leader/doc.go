// Package leader decides which server of a group is the primary and for how long that is certain.
package leader
