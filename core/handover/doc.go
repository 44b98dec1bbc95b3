// Package handover decides when a primary is to be replaced and by which server, for groups whose primary acknowledges a
// write once a replica has received it.
package handover
