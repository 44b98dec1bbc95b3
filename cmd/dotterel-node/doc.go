// Command dotterel-node runs the proxy on the prepared platform.
package main
