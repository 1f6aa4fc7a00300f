// Package wire defines the messages of the fleet and their CBOR encoding. Gateways exchange
// only Status, StreamOrigins, OriginQuery, OriginReply and CrashEvidence, with the types that they contain, and
// StoreUpdate; routers exchange all other messages.
//
// Messages may be lost, delayed, duplicated or reordered, and every receiver must
// tolerate all four. Clocks need not be synchronized: no message carries an absolute time
// for comparison with the receiver's clock. Durations are in milliseconds and count from
// the receipt of the message, unless the field's comment says that they count from the
// sending of the request.
package wire
