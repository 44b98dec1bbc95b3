// Package catalog holds the configuration in force: routes, organisations and their keys, database groups and servers.
package catalog
