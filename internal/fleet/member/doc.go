// Package member knows which daemons and backend servers there are.
//
// It combines three sources without a consensus group: the platform's lagging VM
// list, which a few daemons of each availability zone read and pass on; the record
// that each daemon publishes of itself; and suspicions, published by neighbours
// whose heartbeats stay unanswered. A suspicion names the version of the suspect's
// record and ends as soon as the suspect publishes a newer one. Nobody dies by
// suspicion: a suspect is left out of decisions and still probed.
package member
