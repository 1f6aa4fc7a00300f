package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// Message is a message between two routers or two gateways.
type Message interface{ Kind() Kind }

// Kind is the type of a message on the wire.
type Kind uint8

// Kinds of messages. The values are part of the protocol.
const (
	KindClaim Kind = iota + 1
	KindClaimAck
	KindLeaseRequest
	KindLeaseReply
	KindLeaseUpdate
	KindBorrow
	KindBorrowReply
	KindRedeem
	KindRedeemReply
	KindSettle
	KindFeedPull
	KindFeedPush
	KindLoadGossip
	KindRedemptionHandover
	KindTransfer
	KindSettleAck
	KindLeaseHandover
	KindStatus
	KindStreamOrigins
	KindOriginQuery
	KindOriginReply
	KindCrashEvidence
)

// Header precedes every message. The receiver compares the revisions with its own to detect that
// it is behind.
type Header struct {
	_           struct{}          `cbor:",toarray"`
	Incarnation fleet.Incarnation // of the sender's process
	Config      fleet.Revision
	Instances   fleet.Revision
	Endpoints   fleet.Revision
}

// Frame is one message with its header.
type Frame struct {
	Header  Header
	Message Message
}

func (Claim) Kind() Kind { return KindClaim }

func (ClaimAck) Kind() Kind { return KindClaimAck }

func (LeaseRequest) Kind() Kind { return KindLeaseRequest }

func (LeaseReply) Kind() Kind { return KindLeaseReply }

func (LeaseUpdate) Kind() Kind { return KindLeaseUpdate }

func (Borrow) Kind() Kind { return KindBorrow }

func (BorrowReply) Kind() Kind { return KindBorrowReply }

func (Redeem) Kind() Kind { return KindRedeem }

func (RedeemReply) Kind() Kind { return KindRedeemReply }

func (Settle) Kind() Kind { return KindSettle }

func (FeedPull) Kind() Kind { return KindFeedPull }

func (FeedPush) Kind() Kind { return KindFeedPush }

func (LoadGossip) Kind() Kind { return KindLoadGossip }

func (RedemptionHandover) Kind() Kind { return KindRedemptionHandover }

func (Transfer) Kind() Kind { return KindTransfer }

func (SettleAck) Kind() Kind { return KindSettleAck }

func (LeaseHandover) Kind() Kind { return KindLeaseHandover }

func (Status) Kind() Kind { return KindStatus }

func (StreamOrigins) Kind() Kind { return KindStreamOrigins }

func (OriginQuery) Kind() Kind { return KindOriginQuery }

func (OriginReply) Kind() Kind { return KindOriginReply }
