package wire

// unknownName names values that this version does not know.
const unknownName = "unknown"

var kindNames = [...]string{
	KindClaim:         "claim",
	KindClaimAck:      "claim_ack",
	KindLeaseRequest:  "lease_request",
	KindLeaseReply:    "lease_reply",
	KindLeaseUpdate:   "lease_update",
	KindBorrow:        "borrow",
	KindBorrowReply:   "borrow_reply",
	KindRedeem:        "redeem",
	KindRedeemReply:   "redeem_reply",
	KindSettle:        "settle",
	KindFeedPull:      "feed_pull",
	KindFeedPush:      "feed_push",
	KindDigest:        "digest",
	KindHandover:      "handover",
	KindTransfer:      "transfer",
	KindSettleAck:     "settle_ack",
	KindLeaseHandover: "lease_handover",
	KindStatus:        "status",
}

// String returns the kind's stable name in metrics and dumps.
func (k Kind) String() string { return nameOf(kindNames[:], uint8(k)) }

var resourceKindNames = [...]string{
	ResourceEndpoint:  "endpoint",
	ResourceWorkspace: "workspace",
	ResourceKeySlot:   "key_slot",
}

// String returns the stable name of the kind of resource in dumps.
func (k ResourceKind) String() string { return nameOf(resourceKindNames[:], uint8(k)) }

var leaseResultNames = [...]string{
	LeaseGranted:      "granted",
	LeaseQueued:       "queued",
	LeaseAtLimit:      "at_limit",
	LeaseCold:         "cold",
	LeaseOutOfService: "out",
	LeaseNotOwner:     "not_owner",
	LeaseNoQuorum:     "unbacked",
	LeaseExpired:      "expired",
	LeaseFailing:      "failing",
}

// String returns the result's stable name in metrics, dumps and explanations.
func (r LeaseResult) String() string { return nameOf(leaseResultNames[:], uint8(r)) }

var redeemResultNames = [...]string{
	RedeemGranted:           "run",
	RedeemPending:           "pending",
	RedeemDone:              "done",
	RedeemUnknown:           "unknown",
	RedeemMismatch:          "mismatch",
	RedeemNotOwner:          "foreign",
	RedeemHistoryIncomplete: "young",
	RedeemInvalid:           "invalid",
	RedeemFull:              "full",
}

// String returns the result's stable name in metrics, dumps and explanations.
func (r RedeemResult) String() string { return nameOf(redeemResultNames[:], uint8(r)) }

// nameOf returns the name of a value, which may come from a peer of another version.
func nameOf(names []string, i uint8) string {
	if int(i) >= len(names) || names[i] == "" {
		return unknownName
	}
	return names[i]
}
