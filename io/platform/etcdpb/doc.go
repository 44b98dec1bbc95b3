// Package etcdpb contains the generated messages and services of the subset of the etcd v3 API that the project uses.
//
// Package names, service names, message names and field numbers are those of the published API. The client has been tested
// only against the project's stand-in, not against etcd.
package etcdpb

//go:generate protoc --go_out=../../.. --go_opt=module=dotterelgw --go-grpc_out=../../.. --go-grpc_opt=module=dotterelgw --proto_path=../../.. io/platform/etcdpb/kv.proto io/platform/etcdpb/rpc.proto
//go:generate sed -i "s/ not \\(implemented\\)/ un\\1/" rpc_grpc.pb.go
