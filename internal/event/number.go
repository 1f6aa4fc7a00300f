package event

// Number identifies a kind of event. Numbers are stable and never reused.
type Number uint16

// Severity is the urgency of an event for an operator.
type Severity uint8

// Severities in ascending order.
const (
	Info Severity = iota + 1
	Warning
	Error
)

// Definition describes one kind of event.
type Definition struct {
	Number   Number
	Name     string // stable, lower case with underscores
	Severity Severity
	Summary  string // one sentence; docs/EVENTS.md begins the section with it
}

// Event numbers: 1xx process, 2xx configuration, 3xx membership, 4xx ownership and
// load, 5xx requests, 6xx limits, 7xx tickets, 8xx platform.
const (
	ProcessStarted        Number = 101
	ProcessStopping       Number = 102
	ProcessStopped        Number = 103
	ProcessPaused         Number = 104
	PanicContained        Number = 107
	ProgramIdentified     Number = 108
	ConfigAdopted         Number = 201
	ConfigRefused         Number = 202
	PeerSuspected         Number = 301
	PeerRecovered         Number = 302
	PeerLeaving           Number = 303
	OwnershipGained       Number = 401
	OwnershipLost         Number = 402
	EndpointCold          Number = 403
	EndpointSilent        Number = 404
	RequestRefused        Number = 501
	RequestUnknown        Number = 502
	StreamResumed         Number = 503
	AttemptRetried        Number = 504
	LimitReached          Number = 601
	TicketRefused         Number = 701
	HandoverSent          Number = 702
	PlatformUnreadable    Number = 801
	PlatformReadable      Number = 802
	PeerRefused           Number = 304
	PeerUnreachable       Number = 307
	SettingsRead          Number = 105
	SettingsFault         Number = 106
	ItemUnreadable        Number = 203
	DataCentreState       Number = 204
	ConfigUnknown         Number = 205
	EvacuationLost        Number = 206
	MembersLearned        Number = 305
	SeedUnreachable       Number = 306
	MessageUnreadable     Number = 308
	AggregatorsChanged    Number = 309
	OriginsReplicated     Number = 310
	OriginUnknown         Number = 311
	CrashNewsUnsent       Number = 312
	CrashNewsRejected     Number = 313
	VersionsLearned       Number = 314
	EndpointListed        Number = 405
	EndpointLapsed        Number = 406
	EndpointRemoved       Number = 407
	EndpointDown          Number = 408
	EndpointUp            Number = 409
	EndpointFailing       Number = 410
	EndpointLeaves        Number = 411
	EndpointPauses        Number = 412
	EndpointReplaced      Number = 413
	IncarnationUnreported Number = 414
	EndpointProcessEnded  Number = 415
	EndpointEndRefuted    Number = 416
	RequestAdmitted       Number = 505
	AttemptPlaced         Number = 506
	AttemptEnded          Number = 507
	RequestAnswered       Number = 508
	RequestRejected       Number = 509
	CallerLeft            Number = 510
	RequestOverdue        Number = 511
	CallerCut             Number = 512
	HandlerPanicked       Number = 513
	CallersClosed         Number = 514
	RequestBlocked        Number = 515
	RequestOnTrial        Number = 516
	RequestCleared        Number = 517
	RequestBlockBegan     Number = 518
	CrashCauseFound       Number = 519
	CrashCauseRefuted     Number = 520
	ContentionChanged     Number = 521
	CallersRefused        Number = 522
	StoreReturned         Number = 803
	HistoryGone           Number = 804
	StoreRestored         Number = 805
	ContentUndecided      Number = 806
	ContentReplaced       Number = 807
	ContentProven         Number = 808
)
