// Package intake keeps one account of the bytes and descriptors that callers make the process hold.
//
// Connections, request headers, request bodies and responses that are being written count.
// The account is kept below what the machine has. When it is short, it drops first what has
// made no progress for a time, the oldest first, and then what the largest client account or
// address holds. A request that a server may have run is dropped only while its caller does
// not read the response.
package intake
