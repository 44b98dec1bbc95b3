// Package node runs the proxy of one VM on a platform that provides a key-value store for the configuration and
// databases that accept the statements of package statement.
package node
