// Package statement defines the statements of callers and the replies of backend servers, independent of the wire protocol.
package statement
