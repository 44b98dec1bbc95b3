// Package relay assigns VMs as relays for records of the key-value service, and keeps the change log that relays serve from.
package relay
