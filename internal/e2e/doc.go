// Package e2e runs end-to-end tests against real processes on loopback. Each test is a testscript script.
//
// The scripts in testdata use the commands of testscript and these:
//
//	deploy                 start the platform, endpoints and routers; wait until all are ready
//	idle DURATION          set the callers' idle timeout; precedes load
//	load                   start to send chat turns and bookings
//	await KIND N           wait until N more chat turns (KIND "chats") or "bookings" have been answered
//	crash ID               kill a router with SIGKILL
//	freeze ID              pause a router with SIGSTOP
//	thaw ID                resume it with SIGCONT
//	term ID                stop a router with SIGTERM; wait for its exit with code 0
//	restart ID             start a router again; wait until it is ready
//	replace ID             kill a router and start it at other addresses; wait until it is ready
//	out DC                 publish that a data centre is out of service
//	back DC                publish that it is in service
//	adopted                wait until all routers have adopted the published configuration
//	quiet DC               check that its endpoints receive no request while 100 chat turns are answered
//	busy DC                wait until its endpoints receive a request
//	served ID N            wait until the current process of a router has answered N requests
//	platform STATE         set the platform "down", "stale" or "up"
//	silence                blackhole the open connections to engines; new connections work
//	settle                 stop sending; wait for the requests in progress
//	expect complete        every chat turn was answered completely, with the expected text
//	expect once            no booking was executed more than once, every response reports the first execution, and the
//	                       number of executed bookings is between answered and answered + unknown
//	expect uninterrupted   no connection of a caller broke, and no booking has an unknown outcome
package e2e
