package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// TicketID names one permission to run a non-idempotent request once.
type TicketID struct {
	_           struct{} `cbor:",toarray"`
	Issuer      fleet.InstanceID
	Incarnation fleet.Incarnation
	Seq         uint64
	Nonce       uint64
	DataCentre  fleet.DataCentreID // of the issuer
}

// Redeem asks for the right to run a non-idempotent request: from the issuer of
// its ticket, or, when Key is set, from the home of the caller's key.
type Redeem struct {
	_         struct{} `cbor:",toarray"`
	Ticket    TicketID
	Key       string // caller's Idempotency-Key, scoped to the workspace
	Workspace fleet.WorkspaceID
	Request   fleet.RequestID
	Digest    uint64 // of the request's method, path and body
}

// RedeemResult is the answer to a Redeem.
type RedeemResult uint8

// The results of a redemption.
const (
	RedeemGranted           RedeemResult = iota + 1 // the asker, and nobody else, may run the request
	RedeemPending                                   // another attempt has the right and has not settled
	RedeemDone                                      // it ran; Response holds the answer if it was kept
	RedeemUnknown                                   // it may have run
	RedeemMismatch                                  // the ticket or key was used for another request
	RedeemNotOwner                                  // not this router's ticket or key
	RedeemHistoryIncomplete                         // this home has not held the key's slot for the key's whole life
	RedeemInvalid                                   // no such ticket, or it expired unused: the request did not run
	RedeemFull                                      // the home has no room for the key: the request did not run
)

// StoredResponse is the answer of a request that ran, kept for repeats.
type StoredResponse struct {
	_           struct{} `cbor:",toarray"`
	Status      uint16
	ContentType string
	Body        []byte
}

// RedeemReply answers a Redeem. It echoes Request.
type RedeemReply struct {
	_            struct{} `cbor:",toarray"`
	Request      fleet.RequestID
	Result       RedeemResult
	RetryAfterMS uint32
	Response     *StoredResponse
	Owner        fleet.InstanceID // of a foreign ticket or key: who answers for it, "" when not known
}

// SettleOutcome is how a request that had the right to run ended.
type SettleOutcome uint8

// The outcomes that a Settle reports.
const (
	SettleAnswered SettleOutcome = iota + 1
	SettleNotRun                 // the right may be given to another attempt
	SettleUnknown
)

// Settle reports how a request that had the right to run ended.
type Settle struct {
	_         struct{} `cbor:",toarray"`
	Ticket    TicketID
	Key       string
	Workspace fleet.WorkspaceID
	Request   fleet.RequestID
	Outcome   SettleOutcome
	Response  *StoredResponse // nil when too large to keep
}

// SettleAck says that a Settle was taken in. It echoes Request.
type SettleAck struct {
	_       struct{} `cbor:",toarray"`
	Request fleet.RequestID
	Owner   fleet.InstanceID // not taken in: send it there instead, "" when taken in
}

// Handover passes redemption records of a stopping router to a peer, in sessions
// of numbered messages, each acknowledged before the next is sent. Seq 0 opens the
// session and is empty. The sender stops redeeming when Seq 0 is acknowledged; the
// receiver answers for the records once it has the Last message.
type Handover struct {
	_           struct{}          `cbor:",toarray"`
	Incarnation fleet.Incarnation // of the issuer whose tickets these are
	Seq         uint32
	Last        bool
	Records     []RedemptionRecord
	Ack         bool             // the receiver has the records of Seq
	Session     uint64           // random, one for each group of records
	Issuer      fleet.InstanceID // whose tickets these are, "" for records of key slots
	Slots       []SlotHandover   // with Last: the key slots whose records are complete
}

// SlotHandover is a key slot whose records a stopping home hands over.
type SlotHandover struct {
	_          struct{} `cbor:",toarray"`
	Slot       uint32
	CompleteMS uint64 // how long the sender's records of the slot were complete when it stopped
}

// RedemptionRecord is the state of one ticket or key.
type RedemptionRecord struct {
	_              struct{} `cbor:",toarray"`
	Ticket         TicketID
	Key            string
	Workspace      fleet.WorkspaceID
	Request        fleet.RequestID // "" when no attempt has the right
	Digest         uint64
	Outcome        SettleOutcome // 0: pending
	Response       *StoredResponse
	Holder         fleet.InstanceID  // of the right
	DigestSet      bool              // Digest is set
	NotRunAttempts []fleet.RequestID // attempts that settled as not run
	TTLMS          uint32            // how long the right may still be given
	RetentionMS    uint32            // how long the record must be kept
}
