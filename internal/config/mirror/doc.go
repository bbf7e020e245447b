// Package mirror follows the objects of one kind in the platform's store.
//
// A [Mirror] lists the objects once and then watches for changes after the revision
// of the list. If the store no longer has the history after that revision, or a call
// fails, it lists again so that changes made in between are not missed. The [Sink]
// receives each list as the complete state.
package mirror
