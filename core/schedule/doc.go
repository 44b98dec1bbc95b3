// Package schedule decides which statement a backend server runs next, and which statements are refused because they can't be run in
// time.
package schedule
