// Package node runs the proxy of one VM on a platform whose store holds the configuration and whose databases speak in statements.
package node
