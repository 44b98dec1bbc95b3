// Package session runs the message loop of one caller connection: admission, routing, forwarding and confirmation.
package session
