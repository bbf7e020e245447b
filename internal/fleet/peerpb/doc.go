// Package peerpb holds the protobuf messages that daemons exchange. The file peer.pb.go
// is generated from peer.proto by scripts/generate.
package peerpb
