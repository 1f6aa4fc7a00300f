// Package trace reconstructs the trace of a request from the log files of gateways, without access to
// the running processes.
//
// A trace holds the log lines with the id of the request, in the order in which its process
// wrote them, which does not depend on clocks: admission, each attempt with its result, and
// the end. It adds the other events of the process at that time and the events of other
// processes about the same endpoints, and states the cause of the outcome.
package trace
