package event

import "github.com/phuslu/log"

// Event is one kind of log line: Text says what happened, Remedy what the operator does about it.
type Event struct {
	Number int
	Name   string
	Level  log.Level
	Text   string
	Remedy string
}

// The catalogue. Each area has its own hundred: 1xx daemon, 2xx platform, 3xx configuration and server entries,
// 4xx peers, 5xx charges and intents, 6xx requests, 7xx roll-outs and quality, 8xx engines and placement.
var (
	DaemonStarted    = Event{100, "daemonStarted", log.InfoLevel, "the daemon started and listens", "none"}
	DaemonStopping   = Event{101, "daemonStopping", log.InfoLevel, "the daemon began a graceful shutdown", "none"}
	DaemonStopped    = Event{102, "daemonStopped", log.InfoLevel, "the daemon stopped", "none"}
	DaemonSuperseded = Event{103, "daemonSuperseded", log.ErrorLevel, "another process runs under this daemon's ID with a newer incarnation; this one stops", "make sure that no two VMs share an ID"}
	ServiceFailed    = Event{104, "serviceFailed", log.ErrorLevel, "a service of the daemon ended with an error; the daemon stops", "correct the cause that the error names"}

	Reloaded     = Event{105, "reloaded", log.InfoLevel, "the settings file was read again; the settings from start-up stay in force", "restart the daemon if the file changed"}
	ReloadFailed = Event{106, "reloadFailed", log.WarnLevel, "the settings file can't be read; the settings from start-up stay in force", "correct the file and send SIGHUP"}

	StoreUnavailable  = Event{200, "storeUnavailable", log.WarnLevel, "the store does not respond", "restore the store; until then charges are held and non-idempotent requests are refused"}
	StoreReturned     = Event{201, "storeReturned", log.InfoLevel, "the store responds again", "none"}
	StoreWentBack     = Event{202, "storeWentBack", log.ErrorLevel, "the store returned an older version of an object than this daemon has seen; the newer one stays in force", "check whether the platform was restored from a backup"}
	StoreHistoryGone  = Event{204, "storeHistoryGone", log.InfoLevel, "the store no longer has the history that a watch asked for; all objects are listed again", "none"}
	ReaderReplaced    = Event{205, "readerReplaced", log.InfoLevel, "no reader has reported for some time, so this daemon reads the store for the others", "check why the readers, the first daemons of each availability zone, do not reach the store: they log event 200"}
	StoreBudgetSpent  = Event{203, "storeBudgetSpent", log.WarnLevel, "the rate limit of store calls is reached; further calls wait", "raise storeCallRate or add daemons"}
	StoreReadBegun    = Event{206, "storeReadBegun", log.InfoLevel, "this daemon, which is not a reader, begins to call the store itself", "see the field why; if most daemons log it at once, check why the readers do not reach the store: they log events 200 and 208"}
	BeaconsBegun      = Event{207, "beaconsBegun", log.InfoLevel, "this daemon has listed all kinds of objects and tells the others that it reads the store for them", "none"}
	BeaconsEnded      = Event{208, "beaconsEnded", log.InfoLevel, "this daemon no longer tells the others that it reads the store", "if storeSilentMs is there and large, check the path from this VM to the store"}
	StoreRestored     = Event{214, "storeRestored", log.WarnLevel, "the store was restored from a copy; what was in force stays in force until it is written again", "write again what the operator wrote in the seconds before the restore: evacuations, orders of roll-outs, configurations"}
	StoreEraWentBack  = Event{215, "storeEraWentBack", log.ErrorLevel, "the store's era went back or can't be read; the store counts as unavailable and the last state stays in force", "set the store's era to a whole number that is not below the era seen; if that is impossible, stop all daemons and start them again"}
	StoreCopyIgnored  = Event{216, "storeCopyIgnored", log.InfoLevel, "an object of the restored store is older than what is in force and is ignored", "none, if the object is written again; else write or remove it as it has to be"}
	VMListUnavailable = Event{210, "vmListUnavailable", log.WarnLevel, "the VM list does not respond; the last list stays in use", "restore the platform's VM list"}

	ConfigInForce = Event{300, "configInForce", log.InfoLevel, "a configuration came into force", "none"}
	ConfigRefused = Event{301, "configRefused", log.ErrorLevel, "a stored template or configuration is not valid; the previous one stays in force", "correct it and store it again, a template with template apply"}
	ConfigMissing = Event{302, "configMissing", log.WarnLevel, "no configuration has arrived yet from the store or a peer", "check that this daemon reaches the store and the seeds"}
	ConfigStale   = Event{303, "configStale", log.WarnLevel, "neither the store nor a peer is reachable; rolling-in versions are not used", "restore the network of this daemon"}
	RegionUnknown = Event{304, "regionUnknown", log.WarnLevel, "a route or a client account allows a region without an availability zone; no server is in it", "correct the name of the region in the configuration"}

	ServerEntry           = Event{310, "serverEntry", log.InfoLevel, "a backend server registered or changed its entry", "none"}
	ServerGone            = Event{311, "serverGone", log.InfoLevel, "the entry of a backend server is gone; the server gets no new requests", "none"}
	ServerEntryUnreadable = Event{312, "serverEntryUnreadable", log.WarnLevel, "the entry of a backend server can't be read; the server gets no new requests", "find out who wrote the entry and correct it"}
	ServerLeaving         = Event{313, "serverLeaving", log.InfoLevel, "a backend server said in a response that it is leaving; this daemon sends it no new requests", "none"}

	ZoneEvacuated     = Event{320, "zoneEvacuated", log.InfoLevel, "an availability zone is evacuated; its servers get no new requests", "none"}
	ZoneReopened      = Event{321, "zoneReopened", log.InfoLevel, "the evacuation of an availability zone ended; its servers get requests again", "none"}
	EvacuationUnknown = Event{322, "evacuationUnknown", log.WarnLevel, "the evacuation names an availability zone that is not configured and is ignored", "remove the object, and create one with the name of a zone"}
	ServerCold        = Event{323, "serverCold", log.InfoLevel, "a backend server counts as cold and gets few requests until it has warmed up; the field why is entry (its entry says so), appeared (its entry is new) or failed (this daemon did not reach it, so it may have restarted)", "none; if servers log it again and again with failed, check why they end"}
	ServerBack        = Event{324, "serverBack", log.InfoLevel, "a backend server that this daemon did not reach answered; it counts as cold for its warm-up", "none"}

	PeerConnected    = Event{400, "peerConnected", log.DebugLevel, "connected to a peer", "none"}
	PeerLost         = Event{401, "peerLost", log.InfoLevel, "the connection to a peer was lost", "none; the fleet decides whether the peer is dead"}
	PeerSuspected    = Event{402, "peerSuspected", log.WarnLevel, "a peer does not respond and is suspected to have failed", "check the VM of the peer"}
	PeerRejoined     = Event{403, "peerRejoined", log.InfoLevel, "a suspected peer responds again", "none"}
	PeerMessageWrong = Event{404, "peerMessageWrong", log.WarnLevel, "a message or record exchanged with a peer can't be read", "run the same software version on every daemon"}
	PauseNoticed     = Event{405, "pauseNoticed", log.WarnLevel, "this process was paused; leases are checked again", "check the host for overload"}

	LoadSharingBegun   = Event{410, "loadSharingBegun", log.InfoLevel, "enough daemons share the availability zone; they report to each other what they have at its servers", "none"}
	LoadSharingEnded   = Event{411, "loadSharingEnded", log.InfoLevel, "too few daemons share the availability zone; each chooses servers by its own attempts", "none"}
	LoadSumsMissing    = Event{412, "loadSumsMissing", log.WarnLevel, "no aggregator of the availability zone responds; this daemon chooses servers by its own attempts", "check the first two daemons of the zone and the network to them"}
	LoadSharingResumed = Event{413, "loadSharingResumed", log.InfoLevel, "an aggregator of the availability zone responds again", "none"}
	LoadReportClamped  = Event{414, "loadReportClamped", log.WarnLevel, "a daemon reported load that can't be true; it counts with the largest credible numbers", "check that daemon's software version and restart it"}

	ChargeBatchStored  = Event{500, "chargeBatchStored", log.DebugLevel, "a batch of charges was written to the store", "none"}
	ChargeBatchTaken   = Event{501, "chargeBatchTaken", log.WarnLevel, "charges of a lost daemon were written to the store by its standby", "none"}
	ChargeUnprotected  = Event{502, "chargeUnprotected", log.WarnLevel, "some charges have no copy on a second daemon", "start a daemon in another availability zone"}
	ChargeBufferFull   = Event{503, "chargeBufferFull", log.ErrorLevel, "the limit of held charges is reached; new requests are refused", "restore the store"}
	ChargeBatchRefused = Event{504, "chargeBatchRefused", log.WarnLevel, "the store already has another batch of charges under this key; the missing charges go into a new batch", "none"}

	IntentReleased    = Event{510, "intentReleased", log.InfoLevel, "an intent was released, since its request was never sent", "none"}
	IntentUnknown     = Event{511, "intentUnknown", log.WarnLevel, "the outcome of a non-idempotent request is unknown", "look up the request ID at the backend server"}
	OutcomeNotWritten = Event{512, "outcomeNotWritten", log.WarnLevel, "the outcome of a request can't be written to the store yet; it is kept and written later", "restore the store"}

	AttemptFailed     = Event{600, "attemptFailed", log.InfoLevel, "an attempt at a backend server failed", "check the backend server"}
	AnswerMismatch    = Event{601, "answerMismatch", log.ErrorLevel, "a backend server sent a response that belongs to another request; the connection was closed", "withdraw the backend server"}
	AnswerIncomplete  = Event{602, "answerIncomplete", log.WarnLevel, "a response ended before it was complete", "check the backend server"}
	AttemptDisallowed = Event{603, "attemptDisallowed", log.ErrorLevel, "the last check before sending found that the version is not allowed; the request was not sent", "none"}
	ServerPaused      = Event{604, "serverPaused", log.InfoLevel, "a backend server refused a request and asked for a pause; this daemon sends it no requests for that time", "add servers if it happens often"}
	FieldUnreadable   = Event{605, "fieldUnreadable", log.WarnLevel, "a header field of a backend server's response can't be read and is ignored", "correct the backend server"}
	ServerEnded       = Event{606, "serverEnded", log.WarnLevel, "a backend server broke its connections and no longer listens; suspects are the prompt parts of the requests that it had just begun to answer", "check why the server ended; see event 607"}
	PartQuarantined   = Event{607, "partQuarantined", log.ErrorLevel, "servers ended one after the other under requests with a prompt part; requests with it are not sent to servers", "find out why the part crashes the servers; see the requests that event 606 names for them"}
	PartTried         = Event{608, "partTried", log.WarnLevel, "one request with a quarantined prompt part is sent to a server to see whether it still ends", "none"}
	ContentHeld       = Event{614, "contentHeld", log.WarnLevel, "this daemon has seen several servers end under the content of a request and keeps it from servers for a time", "see the requests that event 606 names for it; event 607 follows if the other daemons saw the same"}
	PartReleased      = Event{609, "partReleased", log.InfoLevel, "requests with a prompt part that was quarantined are sent to servers again", "none"}
	RequestDone       = Event{610, "requestDone", log.InfoLevel, "the response of a backend server was passed on to the caller", "none"}
	RequestFailed     = Event{611, "requestFailed", log.WarnLevel, "a request was refused or failed", "search the log for its request ID to find its attempts"}
	StreamResumed     = Event{612, "streamResumed", log.InfoLevel, "a stream is resumed at another backend server", "none"}
	AnswerUnsure      = Event{615, "answerUnsure", log.InfoLevel, "a model is unsure of its answer, of which nothing has been passed on; the field kept says why the answer is kept, and without it the request is sent to the model that next names", "none"}
	LinesDropped      = Event{613, "linesDropped", log.WarnLevel, "log lines beyond the rate limit of their event were dropped", "none; the counters hold the totals"}

	AdmissionRefused  = Event{620, "admissionRefused", log.WarnLevel, "a request was refused before it was sent, since the servers of its service are overloaded", "add servers if it happens often; the fields are the inputs of the decision"}
	RequestWaited     = Event{621, "requestWaited", log.InfoLevel, "a request waited for an overloaded service and is sent now", "none"}
	WaitAbandoned     = Event{622, "waitAbandoned", log.InfoLevel, "the caller left, or the deadline passed, while a request waited; it was not sent", "none"}
	CallerDropped     = Event{630, "callerDropped", log.WarnLevel, "the process lacks bytes or descriptors for callers, and what a caller held was dropped: a connection, a body that was being read, or a response that its caller did not read", "see the owner, a client account or an address; limit it, or add daemons if many are named"}
	CallerRefused     = Event{631, "callerRefused", log.WarnLevel, "a request was refused before it reached a server, since the process lacks bytes or descriptors for it", "see event 630 and the dump of the intake; add daemons if all callers are within their limits"}
	ConnectionRefused = Event{632, "connectionRefused", log.WarnLevel, "a caller's connection was closed, since all descriptors serve requests", "add daemons, or raise limits.maxFds"}

	RolloutStopped    = Event{700, "rolloutStopped", log.WarnLevel, "a version is worse than its predecessor; it gets no new requests", "withdraw the version in the template, or apply a corrected one"}
	QualityBelow      = Event{701, "qualityBelow", log.WarnLevel, "the quality of a serving version fell below the target", "review the version; requests move to others"}
	RolloutState      = Event{703, "rolloutState", log.InfoLevel, "the state of a roll-out was read from the store", "none"}
	RolloutWritten    = Event{704, "rolloutWritten", log.InfoLevel, "the outcome of a roll-out was written to the store, or the write failed with the error given", "read the error; a failed write is retried"}
	RolloutUnreadable = Event{705, "rolloutUnreadable", log.WarnLevel, "the order of a roll-out can't be read", "write the order again"}
	RaterUnavailable  = Event{702, "raterUnavailable", log.WarnLevel, "the rating service does not respond; the allowance of rolling-in versions does not grow", "restore the rating service"}

	OrderSent    = Event{800, "orderSent", log.InfoLevel, "an order was sent to an engine", "none"}
	OrderRefused = Event{801, "orderRefused", log.WarnLevel, "an engine refused an order with an old fencing number", "none; another daemon holds the lease"}
	LeaseTaken   = Event{802, "leaseTaken", log.InfoLevel, "this daemon acquired the placement lease", "none"}
	LeaseLost    = Event{803, "leaseLost", log.WarnLevel, "this daemon lost the placement lease", "none"}
)

// Catalogue lists every event, area by area.
var Catalogue = []Event{
	DaemonStarted, DaemonStopping, DaemonStopped, DaemonSuperseded, ServiceFailed, Reloaded, ReloadFailed,
	StoreUnavailable, StoreReturned, StoreWentBack, StoreBudgetSpent, StoreHistoryGone, ReaderReplaced, StoreReadBegun, BeaconsBegun, BeaconsEnded, VMListUnavailable, StoreRestored, StoreEraWentBack, StoreCopyIgnored,
	ConfigInForce, ConfigRefused, ConfigMissing, ConfigStale, RegionUnknown,
	ServerEntry, ServerGone, ServerEntryUnreadable, ServerLeaving,
	ZoneEvacuated, ZoneReopened, EvacuationUnknown, ServerCold, ServerBack,
	PeerConnected, PeerLost, PeerSuspected, PeerRejoined, PeerMessageWrong, PauseNoticed,
	LoadSharingBegun, LoadSharingEnded, LoadSumsMissing, LoadSharingResumed, LoadReportClamped,
	ChargeBatchStored, ChargeBatchTaken, ChargeUnprotected, ChargeBufferFull, ChargeBatchRefused,
	IntentReleased, IntentUnknown, OutcomeNotWritten,
	AttemptFailed, AnswerMismatch, AnswerIncomplete, AttemptDisallowed, ServerPaused, FieldUnreadable,
	ServerEnded, PartQuarantined, PartTried, PartReleased, ContentHeld,
	RequestDone, RequestFailed, StreamResumed, AnswerUnsure, LinesDropped,
	AdmissionRefused, RequestWaited, WaitAbandoned,
	CallerDropped, CallerRefused, ConnectionRefused,
	RolloutStopped, QualityBelow, RaterUnavailable,
	RolloutState, RolloutWritten, RolloutUnreadable,
	OrderSent, OrderRefused, LeaseTaken, LeaseLost,
}
