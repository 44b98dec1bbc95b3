// Package peerpb contains the generated messages and gRPC service of the peer protocol.
package peerpb

//go:generate protoc --go_out=../../.. --go_opt=module=dotterelgw --go-grpc_out=../../.. --go-grpc_opt=module=dotterelgw --proto_path=../../.. io/peer/peerpb/peer.proto
//go:generate sed -i "s/ not \\(implemented\\)/ un\\1/" peer_grpc.pb.go
