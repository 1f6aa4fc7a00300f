// Package ingress is the reverse proxy for callers of published routes.
//
// It buffers the whole request, has it admitted and placed by the control state, and sends
// it to one endpoint at a time. Responses other than event streams are buffered too, and
// forwarded only when they are complete; the events of a stream are forwarded one by one as
// they arrive. Truncation is not detected for a body that has no length, is not chunked, and
// ends with an orderly close of the connection.
//
// A request that may have run is retried only if its route allows that, so a non-idempotent
// request runs at most once.
package ingress
