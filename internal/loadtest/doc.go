// Package loadtest generates closed-loop client traffic for a running deployment and verifies each response. A chat has
// several turns, each of which is one request; the text of the response is a function of the prompt (see
// standin/engine). Bookings must run at most once.
package loadtest
