// Package session runs the message loop of each caller connection: it admits requests, routes them to backend servers,
// forwards the answers, and confirms that writes are durable before it acknowledges them.
package session
