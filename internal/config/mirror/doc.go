// Package mirror follows the objects of one kind in the platform's store.
//
// A [Mirror] lists the objects once and then waits for changes after the revision
// of the list. When the history is gone or a call fails it lists again, so that
// changes made in between are not missed. The [Sink] sees each list whole.
package mirror
