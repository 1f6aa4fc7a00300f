// Package e2e runs end-to-end tests against real processes on loopback. Each test is a script.
//
// The scripts in testdata use the commands of testscript and these:
//
//	deploy                 start the platform, endpoints and routers; wait until all are ready
//	idle DURATION          set the caller timeout for a response without progress; precedes load
//	load                   start to send chats and bookings
//	await KIND N           wait until N more "chats" or "bookings" have been answered
//	crash ID               kill a router with SIGKILL
//	freeze ID              pause a router with SIGSTOP
//	thaw ID                resume it with SIGCONT
//	term ID                stop a router with SIGTERM; wait for its exit with code 0
//	restart ID             start a router again; wait until it is ready
//	replace ID             kill a router and start it at other addresses; wait until it is ready
//	out DC                 publish that a data centre is out of service
//	back DC                publish that it is in service
//	adopted                wait until all routers have adopted the published configuration
//	quiet DC               check that its endpoints receive no request while 100 chats are answered
//	busy DC                wait until its endpoints receive a request
//	served ID N            wait until the present process of a router has answered N requests
//	platform STATE         set the platform "down", "stale" or "up"
//	silence                drop all data of the open connections to engines; new connections work
//	settle                 stop sending; wait for the requests in progress
//	expect complete        every chat was answered completely, with the expected text
//	expect once            no booking was executed twice, nor after it was refused as not executed
//	expect uninterrupted   no connection of a caller broke, and no booking has an unknown outcome
package e2e
