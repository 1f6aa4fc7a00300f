// Package resume encodes resume tokens, which state a caller's position in an event stream.
// Callers hold the tokens, so that routers keep no state for interrupted streams.
//
// Each server-sent event carries a token as its ID. To resume a stream, a caller sends the last
// token that it received in Last-Event-ID to any router. A token contains the endpoint, the
// stream and the number of events that the caller has received. With a fleet secret, tokens are
// authenticated with an HMAC and bound to the caller's API key; without one, they are protected
// only by the unguessable name of the stream.
package resume
