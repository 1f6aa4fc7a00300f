package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// Borrow asks the owner of a workspace for a part of its quota.
type Borrow struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Workspace fleet.WorkspaceID
	Requests  uint32
	Tokens    uint32
	Slots     uint32   // for concurrent requests
	Returned  []uint64 // numbers of released slots; slot i granted for the Borrow with ID n has the number n+i
	HoldMS    uint32   // maximum time for which slots are held, counted from the sending of the Borrow
}

// BorrowReply grants a part of a workspace's quota. It is valid for TTLMS, counted from
// the sending of the Borrow.
type BorrowReply struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Requests     uint32
	Tokens       uint32
	Slots        uint32
	TTLMS        uint32
	RetryAfterMS uint32 // if nothing was granted
	NotOwner     bool
}

// TransferStep is the step of the transfer protocol that a Transfer message performs.
type TransferStep uint8

// Steps of a transfer.
const (
	TransferRequest TransferStep = iota + 1 // requests up to these amounts
	TransferGrant                           // answers the request with the same ID
	TransferReturn                          // returns the slots granted by the transfer with the same ID
)

// Transfer moves a part of a workspace's quota between its owners in two data centres.
// The granting owner subtracts the amounts before it sends them; the receiving owner adds
// each ID at most once. Requests and Tokens are consumed. Slots are borrowed for HoldMS,
// counted from the sending of the TransferRequest.
type Transfer struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Workspace fleet.WorkspaceID
	Requests  uint32
	Tokens    uint32
	Slots     uint32
	Step      TransferStep
	HoldMS    uint32
}
