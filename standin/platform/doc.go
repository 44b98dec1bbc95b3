// Package platform is a stand-in for the platform: an in-memory key-value service with a subset of the etcd v3 API, the
// VM list, and switches that inject faults and count calls.
package platform
