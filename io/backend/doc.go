// Package backend implements connections to backend servers and pools that share them fairly among organisations.
package backend
