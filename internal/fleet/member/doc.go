// Package member tracks which daemons and backend servers exist.
//
// It combines three sources without a consensus group: the platform's VM list, which
// lags behind and which a few daemons of each availability zone read and publish; the
// record that each daemon publishes of itself; and suspicions, published by neighbours
// whose heartbeats go unanswered. A suspicion names the version of the suspect's record
// and ends as soon as the suspect publishes a newer one. A suspicion never removes a
// daemon: decisions ignore a suspect, but it is still probed. Where each process has an ID
// of its own, a restarted daemon publishes which former process it replaced at its address.
package member
