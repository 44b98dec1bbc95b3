// Package directory watches the configuration and the registrations of backend servers in the key-value service.
package directory
