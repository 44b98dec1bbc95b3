// Package fleet registers this VM in the key-value service and watches the registrations of the others.
package fleet
