// Package statement holds the statements of callers and the replies of backend servers, apart from any protocol.
package statement
