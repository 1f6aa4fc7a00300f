// Package control is the decision state of a gateway process.
//
// A State takes facts (what the store publishes, what peers tell, what became of
// requests at endpoints) and questions (may this request run, and where), each with
// the time. What is to be done about it collects as actions, which the process drains
// and carries out. The package has no I/O, clock or goroutine; one goroutine owns a
// State.
package control
