// Package resume encodes resume tokens: positions in event streams that callers hold, so that
// routers keep no state for interrupted streams.
//
// The token is the ID of each server-sent event. A caller sends the last one back in
// Last-Event-ID to any router. It contains the endpoint, the stream and the number of events
// that the caller has received. With a fleet secret, tokens are authenticated with an HMAC and
// bound to the caller's key; without one, they are protected only by the unguessable name of
// the stream.
package resume
