// Package directory watches the configuration, the registrations of backend servers and the evacuations of availability zones in the
// key-value service.
package directory
