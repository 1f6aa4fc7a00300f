package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// TicketID identifies a ticket: a single-use permission to run a non-idempotent request.
type TicketID struct {
	_           struct{} `cbor:",toarray"`
	Issuer      fleet.InstanceID
	Incarnation fleet.Incarnation
	Seq         uint64
	Nonce       uint64
	DataCentre  fleet.DataCentreID // of the issuer
}

// Redeem requests the execution right for a non-idempotent request: from the issuer of its
// ticket or, if Key is set, from the owner of the key's slot.
type Redeem struct {
	_           struct{} `cbor:",toarray"`
	Ticket      TicketID
	Key         string // the caller's Idempotency-Key, scoped to the workspace
	Workspace   fleet.WorkspaceID
	Request     fleet.RequestID
	RequestHash uint64 // hash of the request's method, path and body
}

// RedeemResult is the result of a Redeem.
type RedeemResult uint8

// Results of a redemption.
const (
	RedeemGranted           RedeemResult = iota + 1 // this attempt, and no other one, may run the request
	RedeemPending                                   // another attempt holds the execution right and has not settled
	RedeemDone                                      // the request ran; Response holds its stored response, if any
	RedeemUnknown                                   // the request may have run
	RedeemMismatch                                  // the ticket or key was used for a different request
	RedeemNotOwner                                  // the receiver does not own the ticket or key
	RedeemHistoryIncomplete                         // the key's slot was acquired too recently for complete records
	RedeemInvalid                                   // the ticket does not exist or expired unused; the request did not run
	RedeemFull                                      // the receiver has no room for another key; the request did not run
)

// StoredResponse is the response of a request that ran, kept for repeated requests.
type StoredResponse struct {
	_           struct{} `cbor:",toarray"`
	Status      uint16
	ContentType string
	Body        []byte
}

// RedeemReply answers a Redeem with the same Request.
type RedeemReply struct {
	_            struct{} `cbor:",toarray"`
	Request      fleet.RequestID
	Result       RedeemResult
	RetryAfterMS uint32
	Response     *StoredResponse
	Owner        fleet.InstanceID // with RedeemNotOwner: the owner of the ticket or key, "" if unknown
}

// SettleOutcome is the outcome of a request that held the execution right.
type SettleOutcome uint8

// Outcomes of a request.
const (
	SettleAnswered SettleOutcome = iota + 1 // the request ran and was answered
	SettleNotRun                            // the execution right may be granted to another attempt
	SettleUnknown                           // the request may have run
)

// Settle reports the outcome of a request that held the execution right.
type Settle struct {
	_         struct{} `cbor:",toarray"`
	Ticket    TicketID
	Key       string
	Workspace fleet.WorkspaceID
	Request   fleet.RequestID
	Outcome   SettleOutcome
	Response  *StoredResponse // nil if it is too large to store
}

// SettleAck acknowledges a Settle with the same Request, or redirects its sender to Owner.
type SettleAck struct {
	_       struct{} `cbor:",toarray"`
	Request fleet.RequestID
	Owner   fleet.InstanceID // not accepted: send the Settle to Owner instead; "": accepted
}

// RedemptionHandover transfers redemption records of a stopping router to a successor, in sessions of
// numbered messages. Each message is acknowledged before the next one is sent. Seq 0 opens
// the session and carries no records. The sender stops using the records when Seq 0 is
// acknowledged; the receiver uses them once it has the Last message. All messages after Seq 0 are for the
// incarnation of the receiver that acknowledged Seq 0.
type RedemptionHandover struct {
	_           struct{}          `cbor:",toarray"`
	Incarnation fleet.Incarnation // with Seq 0: of the issuer of the tickets; otherwise, and with Ack: of the receiver of the records
	Seq         uint32
	Last        bool
	Records     []RedemptionRecord
	Ack         bool             // acknowledges message Seq
	Session     uint64           // random ID, one per group of records
	Issuer      fleet.InstanceID // issuer of the tickets, "" for records of key slots
	Slots       []SlotHandover   // with Seq 0: slots of the session; with Last: those with complete records
}

// SlotHandover is a key slot whose records a stopping owner hands over.
type SlotHandover struct {
	_          struct{} `cbor:",toarray"`
	Slot       uint32
	CompleteMS uint64 // for how long the sender's records of the slot had been complete
}

// RedemptionRecord is the redemption state of one ticket or key.
type RedemptionRecord struct {
	_              struct{} `cbor:",toarray"`
	Ticket         TicketID
	Key            string
	Workspace      fleet.WorkspaceID
	Request        fleet.RequestID // "" if no attempt holds the execution right
	RequestHash    uint64
	Outcome        SettleOutcome // 0: pending
	Response       *StoredResponse
	Holder         fleet.InstanceID  // of the execution right
	HasRequestHash bool              // RequestHash is set
	NotRunAttempts []fleet.RequestID // attempts that settled as SettleNotRun
	TTLMSPlusOne   uint32            // 0: no limit; otherwise 1 plus the remaining time in which the execution right may be granted
	RetentionMS    uint32            // remaining time for which the record must be kept
}
