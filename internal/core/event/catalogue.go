package event

import "github.com/phuslu/log"

// Event is one kind of log line, with what an operator should do about it.
type Event struct {
	Number int
	Name   string
	Level  log.Level
	Text   string
	Remedy string
}

// The catalogue; numbers are grouped by hundreds for each area.
var (
	DaemonStarted    = Event{100, "daemonStarted", log.InfoLevel, "daemon listens", "none"}
	DaemonStopping   = Event{101, "daemonStopping", log.InfoLevel, "graceful shutdown began", "none"}
	DaemonStopped    = Event{102, "daemonStopped", log.InfoLevel, "daemon finished", "none"}
	DaemonSuperseded = Event{103, "daemonSuperseded", log.ErrorLevel, "a newer incarnation has this daemon's ID; this one stops", "check that no two VMs share an ID"}
	ServiceFailed    = Event{104, "serviceFailed", log.ErrorLevel, "a service ended with an error", "read the error; the daemon stops"}

	Reloaded     = Event{105, "reloaded", log.InfoLevel, "the settings were read again", "restart the daemon if they changed"}
	ReloadFailed = Event{106, "reloadFailed", log.WarnLevel, "the settings can't be read; those of the start stay in force", "correct the file and send SIGHUP"}

	StoreUnavailable  = Event{200, "storeUnavailable", log.WarnLevel, "the store does not answer", "check the platform; charges are held and non-idempotent work is refused until it returns"}
	StoreReturned     = Event{201, "storeReturned", log.InfoLevel, "the store answers again", "none"}
	StoreWentBack     = Event{202, "storeWentBack", log.ErrorLevel, "the store answered with an older version than was seen", "check the platform for a restored backup; the newer version stays in force"}
	StoreHistoryGone  = Event{204, "storeHistoryGone", log.InfoLevel, "the store dropped the history that a watch asked for; the objects are listed again", "none"}
	ReaderReplaced    = Event{205, "readerReplaced", log.InfoLevel, "this daemon reads the store for the others, since no reader is heard", "see which readers do not reach the store: 200 on the first daemons of each availability zone"}
	StoreBudgetSpent  = Event{203, "storeBudgetSpent", log.WarnLevel, "the store's call budget is used up; calls wait", "raise storeCallRate or add daemons"}
	VMListUnavailable = Event{210, "vmListUnavailable", log.WarnLevel, "the VM list does not answer", "check the platform; the last list stays in use"}

	ConfigInForce = Event{300, "configInForce", log.InfoLevel, "a configuration is in force", "none"}
	ConfigRefused = Event{301, "configRefused", log.ErrorLevel, "a stored template is not valid; the earlier one stays in force", "correct it with template apply"}
	ConfigMissing = Event{302, "configMissing", log.WarnLevel, "no configuration yet from the store or a peer", "check the store and the seeds"}
	ConfigStale   = Event{303, "configStale", log.WarnLevel, "cut off from the store and every peer; rolling-in versions are not used", "restore the network"}

	ServerEntry           = Event{310, "serverEntry", log.InfoLevel, "a backend server registered or changed its entry", "none"}
	ServerGone            = Event{311, "serverGone", log.InfoLevel, "the entry of a backend server is gone; it gets no new work", "none"}
	ServerEntryUnreadable = Event{312, "serverEntryUnreadable", log.WarnLevel, "a server entry can't be read and names no server", "find out who wrote it"}

	PeerConnected    = Event{400, "peerConnected", log.DebugLevel, "connected to a peer", "none"}
	PeerLost         = Event{401, "peerLost", log.InfoLevel, "connection to a peer was lost", "none; the fleet decides whether it is dead"}
	PeerSuspected    = Event{402, "peerSuspected", log.WarnLevel, "a peer does not answer and is suspected", "check its VM"}
	PeerRejoined     = Event{403, "peerRejoined", log.InfoLevel, "a suspected peer answers again", "none"}
	PeerMessageWrong = Event{404, "peerMessageWrong", log.WarnLevel, "a peer sent a message that can't be read", "run the same version on every daemon"}
	PauseNoticed     = Event{405, "pauseNoticed", log.WarnLevel, "this process was paused; leases are checked anew", "look for an overloaded host"}

	ChargeBatchStored  = Event{500, "chargeBatchStored", log.DebugLevel, "a batch of charges is in the store", "none"}
	ChargeBatchTaken   = Event{501, "chargeBatchTaken", log.WarnLevel, "charges of a lost daemon were written by its stand-by", "none"}
	ChargeUnprotected  = Event{502, "chargeUnprotected", log.WarnLevel, "no second daemon holds a charge", "start a daemon in another availability zone"}
	ChargeBufferFull   = Event{503, "chargeBufferFull", log.ErrorLevel, "held charges reached their bound; new work is refused", "restore the store"}
	ChargeBatchRefused = Event{504, "chargeBatchRefused", log.WarnLevel, "a batch name was taken; missing charges are batched again", "none"}

	IntentReleased    = Event{510, "intentReleased", log.InfoLevel, "an intent that was never sent was released", "none"}
	IntentUnknown     = Event{511, "intentUnknown", log.WarnLevel, "the outcome of a non-idempotent request is unknown", "ask the backend server for the request ID"}
	OutcomeNotWritten = Event{512, "outcomeNotWritten", log.WarnLevel, "an outcome can't be written yet; it is kept and written later", "restore the store"}

	AttemptFailed     = Event{600, "attemptFailed", log.InfoLevel, "an attempt at a backend server failed", "check the backend server"}
	AnswerMismatch    = Event{601, "answerMismatch", log.ErrorLevel, "a backend server answered another request; the connection was closed", "withdraw the backend server"}
	AnswerIncomplete  = Event{602, "answerIncomplete", log.WarnLevel, "an answer ended before it was whole", "check the backend server"}
	AttemptDisallowed = Event{603, "attemptDisallowed", log.ErrorLevel, "the last check before sending found the version not allowed", "none; the request was not sent"}
	RequestDone       = Event{610, "requestDone", log.InfoLevel, "a request was answered as its server answered it", "none"}
	RequestFailed     = Event{611, "requestFailed", log.WarnLevel, "a request was refused or failed", "follow its request ID to the attempts before"}
	StreamResumed     = Event{612, "streamResumed", log.InfoLevel, "a stream goes on at another backend server", "none"}
	LinesDropped      = Event{613, "linesDropped", log.WarnLevel, "log lines were left out to bound their volume", "none; counters hold the totals"}

	RolloutStopped    = Event{700, "rolloutStopped", log.WarnLevel, "a version is worse than its predecessor; it gets no new work", "withdraw it in the template, or apply a corrected version"}
	QualityBelow      = Event{701, "qualityBelow", log.WarnLevel, "a serving version's quality fell below the target", "review the version; requests move to others"}
	RolloutState      = Event{703, "rolloutState", log.InfoLevel, "the store's state of a roll-out", "none"}
	RolloutWritten    = Event{704, "rolloutWritten", log.InfoLevel, "the outcome of a roll-out was written to the store, or the write failed", "read the error; it is tried again"}
	RolloutUnreadable = Event{705, "rolloutUnreadable", log.WarnLevel, "an order to roll a version in can't be read", "write it again"}
	RaterUnavailable  = Event{702, "raterUnavailable", log.WarnLevel, "the rating service does not answer", "check it; roll-outs stop widening"}

	OrderSent    = Event{800, "orderSent", log.InfoLevel, "an order was sent to an engine", "none"}
	OrderRefused = Event{801, "orderRefused", log.WarnLevel, "an engine refused an order with an old fencing number", "none; another daemon holds the lease"}
	LeaseTaken   = Event{802, "leaseTaken", log.InfoLevel, "this daemon holds the placement lease", "none"}
	LeaseLost    = Event{803, "leaseLost", log.WarnLevel, "this daemon no longer holds the placement lease", "none"}
)

// Catalogue lists every event by number.
var Catalogue = []Event{
	DaemonStarted, DaemonStopping, DaemonStopped, DaemonSuperseded, ServiceFailed, Reloaded, ReloadFailed,
	StoreUnavailable, StoreReturned, StoreWentBack, StoreBudgetSpent, StoreHistoryGone, ReaderReplaced, VMListUnavailable,
	ConfigInForce, ConfigRefused, ConfigMissing, ConfigStale,
	ServerEntry, ServerGone, ServerEntryUnreadable,
	PeerConnected, PeerLost, PeerSuspected, PeerRejoined, PeerMessageWrong, PauseNoticed,
	ChargeBatchStored, ChargeBatchTaken, ChargeUnprotected, ChargeBufferFull, ChargeBatchRefused,
	IntentReleased, IntentUnknown, OutcomeNotWritten,
	AttemptFailed, AnswerMismatch, AnswerIncomplete, AttemptDisallowed,
	RequestDone, RequestFailed, StreamResumed, LinesDropped,
	RolloutStopped, QualityBelow, RaterUnavailable,
	RolloutState, RolloutWritten, RolloutUnreadable,
	OrderSent, OrderRefused, LeaseTaken, LeaseLost,
}
