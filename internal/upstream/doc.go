// Package upstream is the HTTP client for endpoints: it runs the attempts that the
// core dispatches and polls load reports.
//
// Each attempt dials its own connection. As no connection carries a second request,
// net/http never resends one, and a pooled connection that stopped responding cannot
// delay one. The connection refuses the first byte after the lease has expired and
// records whether any byte was written, so AttemptNotSent is exact: no byte of the
// request was sent, or the endpoint refused the request.
package upstream
