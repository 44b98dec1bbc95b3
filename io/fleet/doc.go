// Package fleet registers this VM in the key-value service and follows the registrations of the others.
package fleet
