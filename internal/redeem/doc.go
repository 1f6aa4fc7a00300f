// Package redeem provides at-most-once execution of non-idempotent requests across the
// retries of their callers.
//
// A request carries either a ticket, which was issued by a router, or the caller's own
// Idempotency-Key. Each ticket and each key has a redemption record, which grants the
// execution right to at most one attempt at a time. The record of a ticket is held in the
// memory of the router run that issued it, and nowhere else until it is handed over. The
// record of a key is held by the owner of the key's slot. A Server holds records. A Client
// requests execution rights for the requests that one router receives from callers.
//
// # Records
//
// The first Redeem binds the record to the digest of the request and grants the execution
// right to its Request. The right becomes free again only if the holder itself settles the
// attempt as not run, and that attempt is never granted the right again. An attempt is
// settled as not run only when this is final: either it never held the right and its Client
// has given up, or it held the right and no byte of the request was or will be written to a
// connection. If a record is lost, by expiry, restart or failure of a router, the answer is
// RedeemUnknown and the right is never granted.
//
// While an attempt holds the right, other attempts are answered with RedeemPending and may
// retry to obtain its outcome. They are answered with RedeemUnknown once PendingTimeout has
// passed, a later run of the holder was observed, or the holder left the instance list. None
// of these events frees the right.
//
// # Contract of the requesting process
//
// A RedeemGranted reply permits an attempt to run only while its Client still waits for the
// reply, as reported by Client.OnReply. A reply that arrives after the Client gave up permits
// nothing and is answered with a Settle. A Result with RedeemGranted states until when the
// request may be written to a connection: the process compares RunBefore with the monotonic
// clock immediately before the first byte. A record is dropped only after RunBefore has
// passed at the holder.
//
// # Keys
//
// The owner of a key's slot grants the right for a key without a record only if a record would
// exist had the key been used before: it has owned the slot for the lifetime of a key, or
// since before the key was created (by the timestamp of a UUIDv7), or it has the complete
// records of the former owner. Otherwise the answer is RedeemHistoryIncomplete.
//
// # Planned stop
//
// A stopping router transfers its records to successors by Handover messages. It stops using
// the records when the successor has acknowledged the opening of a session, and the successor
// uses them only once it has received all records of the session. The last message of a
// session is sent to one successor only, so a record is never in use by two routers.
package redeem
