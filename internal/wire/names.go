package wire

// unknownName is the name of values that this version does not define. RedeemUnknown, a defined
// value, has the same name.
const unknownName = "unknown"

var kindNames = [...]string{
	KindClaim:              "claim",
	KindClaimAck:           "claim_ack",
	KindLeaseRequest:       "lease_request",
	KindLeaseReply:         "lease_reply",
	KindLeaseUpdate:        "lease_update",
	KindBorrow:             "borrow",
	KindBorrowReply:        "borrow_reply",
	KindRedeem:             "redeem",
	KindRedeemReply:        "redeem_reply",
	KindSettle:             "settle",
	KindFeedPull:           "feed_pull",
	KindFeedPush:           "feed_push",
	KindLoadGossip:         "digest",
	KindRedemptionHandover: "handover",
	KindTransfer:           "transfer",
	KindSettleAck:          "settle_ack",
	KindLeaseHandover:      "lease_handover",
	KindStatus:             "status",
	KindStreamOrigins:      "stream_origins",
	KindOriginQuery:        "origin_query",
	KindOriginReply:        "origin_reply",
	KindCrashEvidence:      "crash_evidence",
}

// String returns the name of the kind in metrics and dumps. The names are stable across versions.
func (k Kind) String() string { return nameOf(kindNames[:], uint8(k)) }

var resourceKindNames = [...]string{
	ResourceEndpoint:  "endpoint",
	ResourceWorkspace: "workspace",
	ResourceKeySlot:   "key_slot",
}

// String returns the name of the kind in dumps. The names are stable across versions.
func (k ResourceKind) String() string { return nameOf(resourceKindNames[:], uint8(k)) }

var leaseResultNames = [...]string{
	LeaseGranted:          "granted",
	LeaseQueued:           "queued",
	LeaseAtLimit:          "at_limit",
	LeaseAtColdStartLimit: "cold",
	LeaseOutOfService:     "out",
	LeaseNotOwner:         "not_owner",
	LeaseNoQuorum:         "unbacked",
	LeaseExpired:          "expired",
	LeaseFailing:          "failing",
}

// String returns the name of the result in metrics, dumps and explanations. The names are
// stable across versions.
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

// String returns the name of the result in metrics, dumps and explanations. The names are
// stable across versions.
func (r RedeemResult) String() string { return nameOf(redeemResultNames[:], uint8(r)) }

// nameOf returns the name of a value, or unknownName for one sent by a peer of another version.
func nameOf(names []string, value uint8) string {
	if int(value) >= len(names) || names[value] == "" {
		return unknownName
	}
	return names[value]
}
