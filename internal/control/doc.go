// Package control is the decision state of a gateway process.
//
// A State takes facts (what the store publishes, what peers tell, what became of
// requests at endpoints) and questions (may this request run, where), each with the
// time. It has no I/O, clock or goroutine; one goroutine owns it.
package control
