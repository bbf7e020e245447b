// Package zones holds the availability zones that operators have evacuated.
//
// While the store has an evacuation of a zone, no request is sent to the servers there. The
// last known state holds while the store is away. An evacuation that is missing right after
// the store's return stays in force for [mayReturnTimeout], within which it may return.
package zones
