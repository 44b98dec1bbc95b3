// Package refusal holds the closed list of reasons for which a request is refused.
package refusal
