// Package platform implements the clients of the platform's key-value service (a subset of the etcd v3 API) and of its VM list.
package platform
