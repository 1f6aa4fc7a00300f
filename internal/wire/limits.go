package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// Borrow asks the owner of a workspace for part of its limits.
type Borrow struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Workspace fleet.WorkspaceID
	Requests  uint32
	Tokens    uint32
	Slots     uint32   // concurrent requests
	Returned  []uint64 // slots that are free again; slot i of a loan has the loan's ID plus i
	HoldMS    uint32   // how long the slots may be held, counted from the sending of the Borrow
}

// BorrowReply lends part of a workspace's limits until the loan's TTL, counted
// from the sending of the Borrow.
type BorrowReply struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Requests     uint32
	Tokens       uint32
	Slots        uint32
	TTLMS        uint32
	RetryAfterMS uint32 // when nothing was lent
	NotOwner     bool
}

// TransferStep says what a Transfer does.
type TransferStep uint8

// The steps of a transfer.
const (
	TransferRequest TransferStep = iota + 1 // the sender asks for up to these amounts
	TransferGrant                           // answers the ask with the same ID
	TransferReturn                          // the sender no longer uses Slots of the transfer ID
)

// Transfer moves part of a workspace's limits between the owners of two data
// centres. The giver subtracts before it sends; the taker adds each ID once.
// Requests and Tokens are amounts, spent once. Slots are lent for HoldMS, counted
// from the sending of the ask.
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
