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

type command func(s *scenario, ts *testscript.TestScript, args []string)

var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"deploy": with(0, func(s *scenario, ts *testscript.TestScript, _ []string) { s.deploy(ts) }),
	"idle":   with(1, idle),
	"load":   with(0, func(s *scenario, _ *testscript.TestScript, _ []string) { s.load() }),
	"await":  with(2, await),
	"crash": with(1, func(s *scenario, _ *testscript.TestScript, args []string) {
		s.d.KillRouter(fleet.InstanceID(args[0]))
	}),
	"freeze":  with(1, signal(syscall.SIGSTOP)),
	"thaw":    with(1, signal(syscall.SIGCONT)),
	"term":    with(1, term),
	"restart": with(1, restart),
	"replace": with(1, replace),
	"settle": with(0, func(s *scenario, ts *testscript.TestScript, _ []string) {
		s.stop()
		s.sent.Wait()
		ts.Logf("chats %+v\nbookings %+v", s.chats.Counts(), s.bookings.Counts())
	}),
	"promise":  with(1, promise),
	"out":      with(1, setOut(true)),
	"back":     with(1, setOut(false)),
	"adopted":  with(0, adopted),
	"quiet":    with(1, quiet),
	"busy":     with(1, busy),
	"served":   with(2, served),
	"platform": with(1, failPlatform),
	"silence":  with(0, silence),
}

// with checks the number of arguments and finds the script's state.
func with(args int, c command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, got []string) {
		if neg || len(got) != args {
			ts.Fatalf("needs %d arguments and no negation, has %q", args, got)
		}
		c(ts.Value(scenarioKey{}).(*scenario), ts, got)
	}
}

func await(s *scenario, ts *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	results := map[string]*loadtest.Results{"chats": &s.chats, "bookings": &s.bookings}[args[0]]
	if results == nil {
		ts.Fatalf("no results of %q", args[0])
	}
	s.await(ts, results, n)
}

func signal(sig syscall.Signal) command {
	return func(s *scenario, ts *testscript.TestScript, args []string) {
		ts.Check(s.d.SignalRouter(fleet.InstanceID(args[0]), sig))
	}
}

func term(s *scenario, ts *testscript.TestScript, args []string) {
	id := fleet.InstanceID(args[0])
	ts.Check(s.d.SignalRouter(id, syscall.SIGTERM))
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	code, err := s.d.WaitExit(ctx, id)
	ts.Check(err)
	if code != 0 {
		ts.Fatalf("%s exited with code %d", id, code)
	}
}

func restart(s *scenario, ts *testscript.TestScript, args []string) {
	id := fleet.InstanceID(args[0])
	ts.Check(s.d.StartRouter(id))
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	ts.Check(s.d.WaitRouterReady(ctx, id))
}

func replace(s *scenario, ts *testscript.TestScript, args []string) {
	id := fleet.InstanceID(args[0])
	ts.Check(s.d.ReplaceRouter(id))
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	ts.Check(s.d.WaitRouterReady(ctx, id))
}

// setOut publishes that a data centre is out of service, or back.
func setOut(out bool) command {
	return func(s *scenario, ts *testscript.TestScript, args []string) {
		ts.Check(s.d.SetOutOfService(context.Background(), fleet.DataCentreID(args[0]), out))
	}
}

func adopted(s *scenario, ts *testscript.TestScript, _ []string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	ts.Check(s.d.WaitConfiguration(ctx))
}

const (
	settlingChats = 48 // answered until what was on its way before has arrived
	quietChats    = 100
)

func quiet(s *scenario, ts *testscript.TestScript, args []string) {
	s.await(ts, &s.chats, settlingChats)
	first := s.work(ts, args[0])
	s.await(ts, &s.chats, quietChats)
	if last := s.work(ts, args[0]); last != first {
		ts.Fatalf("%s took %d requests", args[0], last-first)
	}
}

func busy(s *scenario, ts *testscript.TestScript, args []string) {
	first := s.work(ts, args[0])
	for end := time.Now().Add(waitLimit); s.work(ts, args[0]) == first; time.Sleep(pollPeriod) {
		if time.Now().After(end) {
			ts.Fatalf("%s takes no work", args[0])
		}
	}
}

func served(s *scenario, ts *testscript.TestScript, args []string) {
	want, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	for end := time.Now().Add(waitLimit); s.answered(ts, args[0]) < want; time.Sleep(pollPeriod) {
		if time.Now().After(end) {
			ts.Fatalf("%s has not answered %s requests", args[0], args[1])
		}
	}
}

func failPlatform(s *scenario, ts *testscript.TestScript, args []string) {
	f, ok := map[string]platform.Faults{
		"up":    {},
		"down":  {Down: true},
		"stale": {Stale: []platform.Feed{platform.Configuration, platform.Instances, platform.Endpoints}},
	}[args[0]]
	if !ok {
		ts.Fatalf("the platform cannot be %q", args[0])
	}
	ts.Check(s.d.InjectPlatformFaults(context.Background(), f))
}

func idle(s *scenario, ts *testscript.TestScript, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	s.idle = d
}

// silence lets the connections to engines that are open now carry nothing any more.
func silence(s *scenario, _ *testscript.TestScript, _ []string) {
	for _, l := range s.links {
		l.Inject(link.Faults{Silent: true})
		l.Inject(link.Faults{})
	}
}

func promise(s *scenario, ts *testscript.TestScript, args []string) {
	chats, bookings := s.chats.Counts(), s.bookings.Counts()
	switch args[0] {
	case "whole":
		if chats.Answered != chats.Requests || chats.Requests == 0 {
			ts.Fatalf("%d of %d chats answered", chats.Answered, chats.Requests)
		}
	case "once":
		runs, err := s.d.BookingRuns(context.Background())
		ts.Check(err)
		for booking, n := range runs {
			if n != 1 {
				ts.Fatalf("%s ran %d times", booking, n)
			}
		}
		if len(runs) < bookings.Answered || len(runs) > bookings.Answered+bookings.Unknown || bookings.Wrong > 0 {
			ts.Fatalf("%d bookings ran", len(runs))
		}
	case "unbroken":
		if chats.BrokenResponses+bookings.BrokenResponses+bookings.Unknown > 0 || bookings.Answered != bookings.Requests {
			ts.Fatalf("a request was cut off")
		}
	default:
		ts.Fatalf("no promise %q", args[0])
	}
}
