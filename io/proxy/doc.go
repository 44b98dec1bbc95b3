// Package proxy serves the sessions of callers. It routes their statements to backend servers and answers refused
// requests itself.
package proxy
