// Package ingress is the HTTP server for callers of published routes.
//
// It buffers the whole request, has it admitted and placed by the control state, and sends
// it to one endpoint at a time. Responses other than event streams are forwarded only when
// they are complete; the events of a stream are forwarded one by one as they arrive. A
// request that may have run is retried only if its route allows that.
package ingress
