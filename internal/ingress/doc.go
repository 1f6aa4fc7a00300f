// Package ingress is the HTTP server for callers of published routes.
//
// It reads a request whole, asks the control state whether and where it may run, sends
// it to one endpoint at a time and passes the answer on: a document only when it is
// whole, a stream event by event as the events arrive.
package ingress
