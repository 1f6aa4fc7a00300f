// Package redeem provides at-most-once execution of non-idempotent requests across the
// retries of their callers: a request with a ticket runs at most once, and a request with
// an idempotency key at most once within KeyLifetime of the key's first use, if the clocks of
// callers and routers differ by at most MaxClockSkew.
//
// A request carries either a ticket, which was issued by a router, or the caller's own
// Idempotency-Key. Each ticket and each key has a redemption record at one owner, which grants
// the execution right to at most one attempt at a time. The right permits the holder to begin
// the execution until RunBefore. The record of a ticket is held in the memory of the router
// incarnation that issued it, and nowhere else until it is handed over. The record of a key is
// held by the owner of the key's slot. A Server holds records. A Client requests execution
// rights for the requests that one router receives from callers.
//
// # Records
//
// The first Redeem binds the record to the hash of the request and grants the execution
// right to its Request. The right becomes free again only if the holder itself settles the
// attempt as not run. An attempt is settled as not run only when this is final: either it
// never held the right and its Client has abandoned the redemption, or it held the right and
// no byte of the request was or will be written to a connection. The record stores the newest
// of these attempts and does not grant them the right again. A late repeat of an older one may
// be granted the right, but is not executed, because its Client has abandoned the redemption.
//
// The right for a ticket whose record is lost, by expiry, restart or failure of a router, is
// never granted again; the result at the Client is RedeemUnknown. For keys without a record,
// see Keys.
//
// While an attempt holds the right, other attempts are answered with RedeemPending and may
// retry to obtain its outcome. They are answered with RedeemUnknown once PendingTimeout has
// passed, a later incarnation of the holder was observed, or the holder was removed from the
// instance list. None of these events frees the right.
//
// # Contract of the requesting process
//
// A RedeemGranted reply permits an attempt to run only while its Client still waits for the
// reply, as reported by Client.OnReply. A reply that arrives after the Client abandoned the
// redemption permits nothing and is answered with a Settle. A Result with RedeemGranted states
// until when the request may begin to run: the process compares RunBefore with the monotonic
// clock immediately before it writes the first byte to a connection. A record is dropped only
// after RunBefore has passed at the holder.
//
// # Keys
//
// The owner of a key's slot grants the right for a key without a record only if a record would
// exist had the key been used within KeyLifetime: it has owned the slot for KeyLifetime, or
// since before the key was created (by the timestamp of a UUIDv7), or the complete records of
// the former owner extend its history accordingly. Otherwise the answer is
// RedeemHistoryIncomplete. The records of keys expire, so a key may be used again after its
// KeyLifetime has ended, unless the timestamp of a UUIDv7 shows its age.
//
// # Planned stop
//
// A stopping router transfers its records to successors by RedemptionHandover messages: in groups, each
// of them in a session with one successor. It freezes the records of a group, and no longer
// uses them, when the successor has acknowledged the opening of the session. The successor
// uses them only once it has received all records of the session. The last message of a group
// is sent to one successor only, so a record is never in use by two routers.
package redeem
