// Package proxy serves the sessions of callers: it routes their statements to backend servers and answers for what it refuses.
package proxy
