// Package refusal defines the reasons for which a request is refused, with the error that the caller gets.
package refusal
