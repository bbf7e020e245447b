// Package peer carries calls between daemons: protobuf messages on yamux streams.
//
// A [Hub] keeps at most one connection to a peer and opens it when it is first needed;
// there is no full mesh. A call names a service of the other daemon and carries one
// message each way. At the start of a connection both sides prove that they know the
// fleet's key and state their incarnation: of two processes with the same daemon ID only
// the newer one is accepted, and the older one stops. A peer at whose address another
// daemon answers is not dialed there again for a while.
package peer
