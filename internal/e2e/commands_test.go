package e2e

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/loadtest"
	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/internal/standin/platform"
)

// command implements a script command.
type command func(s *scriptState, ts *testscript.TestScript, args []string)

var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"deploy": withArgs(0, func(s *scriptState, ts *testscript.TestScript, _ []string) { s.deploy(ts) }),
	"idle":   withArgs(1, setIdleTimeout),
	"load":   withArgs(0, func(s *scriptState, _ *testscript.TestScript, _ []string) { s.startLoad() }),
	"await":  withArgs(2, awaitCommand),
	"crash": withArgs(1, func(s *scriptState, _ *testscript.TestScript, args []string) {
		s.deployment.KillRouter(fleet.InstanceID(args[0]))
	}),
	"freeze":  withArgs(1, signalRouter(syscall.SIGSTOP)),
	"thaw":    withArgs(1, signalRouter(syscall.SIGCONT)),
	"term":    withArgs(1, stopRouter),
	"restart": withArgs(1, restartRouter),
	"replace": withArgs(1, replaceRouter),
	"settle": withArgs(0, func(s *scriptState, ts *testscript.TestScript, _ []string) {
		s.stopLoad()
		s.loadDone.Wait()
		ts.Logf("chats %+v\nbookings %+v", s.chats.Counts(), s.bookings.Counts())
	}),
	"expect":   withArgs(1, checkOutcome),
	"out":      withArgs(1, setOutOfService(true)),
	"back":     withArgs(1, setOutOfService(false)),
	"adopted":  withArgs(0, awaitConfiguration),
	"quiet":    withArgs(1, checkNoNewRequests),
	"busy":     withArgs(1, awaitNewRequests),
	"served":   withArgs(2, awaitRouterAnswered),
	"platform": withArgs(1, setPlatformFault),
	"silence":  withArgs(0, blackholeEngineLinks),
}

// withArgs returns a script command that checks the number of its arguments and calls c with the state of the script.
func withArgs(args int, c command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, got []string) {
		if neg || len(got) != args {
			ts.Fatalf("needs %d arguments and no negation, got %q", args, got)
		}
		c(ts.Value(scriptStateKey{}).(*scriptState), ts, got)
	}
}

func awaitCommand(s *scriptState, ts *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	results := map[string]*loadtest.Results{"chats": &s.chats, "bookings": &s.bookings}[args[0]]
	if results == nil {
		ts.Fatalf("unknown kind of requests %q", args[0])
	}
	s.awaitAnswered(ts, results, n)
}

func signalRouter(sig syscall.Signal) command {
	return func(s *scriptState, ts *testscript.TestScript, args []string) {
		ts.Check(s.deployment.SignalRouter(fleet.InstanceID(args[0]), sig))
	}
}

func stopRouter(s *scriptState, ts *testscript.TestScript, args []string) {
	id := fleet.InstanceID(args[0])
	ts.Check(s.deployment.SignalRouter(id, syscall.SIGTERM))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	code, err := s.deployment.WaitExit(ctx, id)
	ts.Check(err)
	if code != 0 {
		ts.Fatalf("%s exited with code %d", id, code)
	}
}

func restartRouter(s *scriptState, ts *testscript.TestScript, args []string) {
	id := fleet.InstanceID(args[0])
	ts.Check(s.deployment.StartRouter(id))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ts.Check(s.deployment.WaitRouterReady(ctx, id))
}

func replaceRouter(s *scriptState, ts *testscript.TestScript, args []string) {
	id := fleet.InstanceID(args[0])
	ts.Check(s.deployment.ReplaceRouter(id))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ts.Check(s.deployment.WaitRouterReady(ctx, id))
}

// setOutOfService returns a command that publishes whether a data centre is out of service.
func setOutOfService(out bool) command {
	return func(s *scriptState, ts *testscript.TestScript, args []string) {
		ts.Check(s.deployment.SetOutOfService(context.Background(), fleet.DataCentreID(args[0]), out))
	}
}

func awaitConfiguration(s *scriptState, ts *testscript.TestScript, _ []string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ts.Check(s.deployment.WaitConfiguration(ctx))
}

const (
	drainTurns    = 48  // chat turns to wait for before the observation, so that endpoints have received requests placed before the change
	observedTurns = 100 // chat turns answered during the observation, in which the data centre must receive no request
)

// checkNoNewRequests checks that the endpoints of a data centre receive no request while observedTurns chat turns are
// answered.
func checkNoNewRequests(s *scriptState, ts *testscript.TestScript, args []string) {
	s.awaitAnswered(ts, &s.chats, drainTurns)
	first := s.requestsAccepted(ts, args[0])
	s.awaitAnswered(ts, &s.chats, observedTurns)
	if last := s.requestsAccepted(ts, args[0]); last != first {
		ts.Fatalf("%s received %d requests", args[0], last-first)
	}
}

func awaitNewRequests(s *scriptState, ts *testscript.TestScript, args []string) {
	first := s.requestsAccepted(ts, args[0])
	for end := time.Now().Add(waitTimeout); s.requestsAccepted(ts, args[0]) == first; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			ts.Fatalf("%s receives no requests", args[0])
		}
	}
}

func awaitRouterAnswered(s *scriptState, ts *testscript.TestScript, args []string) {
	want, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	for end := time.Now().Add(waitTimeout); s.requestsAnswered(ts, args[0]) < want; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			ts.Fatalf("%s has not answered %s requests", args[0], args[1])
		}
	}
}

func setPlatformFault(s *scriptState, ts *testscript.TestScript, args []string) {
	f, ok := map[string]platform.Faults{
		"up":    {},
		"down":  {Down: true},
		"stale": {Stale: []platform.Feed{platform.Configuration, platform.Instances, platform.Endpoints}},
	}[args[0]]
	if !ok {
		ts.Fatalf("unknown platform state %q", args[0])
	}
	ts.Check(s.deployment.InjectPlatformFaults(context.Background(), f))
}

func setIdleTimeout(s *scriptState, ts *testscript.TestScript, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	s.idleTimeout = d
}

// blackholeEngineLinks blackholes the open connections to engines: they drop all data without an error. New connections
// work.
func blackholeEngineLinks(s *scriptState, _ *testscript.TestScript, _ []string) {
	for _, l := range s.engineLinks {
		l.Inject(link.Faults{Silent: true})
		l.Inject(link.Faults{})
	}
}

func checkOutcome(s *scriptState, ts *testscript.TestScript, args []string) {
	chats, bookings := s.chats.Counts(), s.bookings.Counts()
	switch args[0] {
	case "complete":
		if chats.Answered != chats.Requests || chats.Requests == 0 {
			ts.Fatalf("%d of %d chat turns answered", chats.Answered, chats.Requests)
		}
	case "once":
		runs, err := s.deployment.BookingRuns(context.Background())
		ts.Check(err)
		for booking, n := range runs {
			if n != 1 {
				ts.Fatalf("%s ran %d times", booking, n)
			}
		}
		if len(runs) < bookings.Answered || len(runs) > bookings.Answered+bookings.Unknown || bookings.Wrong > 0 {
			ts.Fatalf("%d bookings ran", len(runs))
		}
	case "uninterrupted":
		if chats.BrokenResponses+bookings.BrokenResponses+bookings.Unknown > 0 || bookings.Answered != bookings.Requests {
			ts.Fatalf("the connection of a request broke, or the outcome of a booking is unknown")
		}
	default:
		ts.Fatalf("unknown expectation %q", args[0])
	}
}
