// Package loadtest generates closed-loop client traffic for a running deployment and verifies each response. Chats
// have several turns, and the text of each response is a function of the prompt (see standin/engine); bookings must
// run at most once.
package loadtest
