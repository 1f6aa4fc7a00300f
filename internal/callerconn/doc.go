// Package callerconn decides when a caller's kept connection may be closed.
//
// A Listener wraps the connections that it accepts. The callers' http.Server must run with the hooks ConnState and
// ConnContext of this package; nothing else may close connections that have no request in them, so neither
// http.Server.Shutdown nor SetKeepAlivesEnabled may be used. Its ReadHeaderTimeout or ReadTimeout must be set, which tells
// a Conn when a head begins and is complete.
//
// A Listener also bounds what callers can use of the process before a request of theirs is complete: the bytes of and the
// time for a head (SetLimits), the number of connections and their memory (SetBudgets). If a budget is exhausted, the connection
// without a complete request that has made no progress for longest is closed.
//
// A connection without a request is closed only by the goroutine that reads from it: Sweep interrupts the waiting
// read, which then takes what has arrived without waiting. Bytes that have arrived are therefore always passed on to
// net/http; only bytes that arrive during the close itself are lost.
package callerconn
