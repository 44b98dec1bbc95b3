// Package retry decides whether a request may be retried, and limits retries with budgets.
package retry
