// Package poison finds the parts of prompts that crash backend servers.
//
// A server that begins to answer a request with such a part ends, and with it every attempt in flight there. An attempt
// that was in flight makes its parts suspects of that [End]. A sound part that many requests share is a suspect
// of most ends too, so that the number of ends says little by itself: what clears a part is an answer that was whole or
// went on for [Probation]. [Evidence] holds the ends that the daemons report and the parts that were cleared, and
// [Evidence.Evaluate] returns the parts that explain the ends.
//
// The content of a request is a suspect beside its parts, under the key of [ContentKey]: a caller may send a request again and
// again under other IDs. A part is convicted only if the requests that brought it to the ends were not all the same one, and
// a content only if no part explains its ends.
package poison
