// Package platform is a stand-in for the platform: an in-memory key-value service with a subset of the etcd v3 API and
// the VM list. It injects faults set by switches and counts calls.
package platform
