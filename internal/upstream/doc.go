// Package upstream is the HTTP client for endpoints: it runs the attempts that the
// core dispatches and polls load reports.
//
// Each attempt dials a connection of its own, so net/http cannot resend a request and a
// pooled connection that stopped responding cannot delay it. The connection refuses its
// first write once the lease of the attempt (core.Dispatch.NotAfter) has expired, and
// records whether any byte was written. AttemptNotSent is therefore exact: no byte of the
// request was sent, or the endpoint refused the request.
package upstream
