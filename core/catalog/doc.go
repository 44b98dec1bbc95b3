// Package catalog defines the current configuration: routes, organisations and their keys, database groups and servers.
package catalog
