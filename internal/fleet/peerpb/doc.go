// Package peerpb holds the protobuf messages between daemons; peer.pb.go is
// generated from peer.proto by scripts/generate.
package peerpb
