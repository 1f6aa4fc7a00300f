package service

import (
	"fmt"
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func postBooking(t *testing.T, s *Service, booking string) (status int, err error) {
	t.Helper()
	req, _ := http.NewRequestWithContext(t.Context(), "POST", "http://"+s.Addr()+"/slots", nil)
	req.Header.Set("X-Booking", booking)
	req.Header.Set("X-Request-Id", "r-"+booking)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Run") != "true" {
		t.Error("refusal lacks X-Not-Run: true")
	}
	return resp.StatusCode, nil
}

func TestRunsAreCountedHoweverTheCallEnds(t *testing.T) {
	for _, tc := range []struct {
		name                string
		faults              Faults
		capacity            int
		running             int
		status              int // 0: the connection is closed
		runs                int // after the first call
		runsAfterSecondCall int // by booking and by request
	}{
		{"answered", Faults{}, 0, 0, 200, 1, 2},
		{"broken before", Faults{BreakBefore: 1}, 0, 0, 0, 0, 1},
		{"broken after", Faults{BreakAfter: 1}, 0, 0, 0, 1, 2},
		{"refused", Faults{}, 1, 1, 503, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, err := Start("127.0.0.1:0", Config{Capacity: tc.capacity})
			if err != nil {
				t.Fatal(err)
			}
			defer http.DefaultClient.CloseIdleConnections()
			defer func() { _ = s.Close() }()
			s.running = tc.running
			s.Inject(tc.faults)
			status, _ := postBooking(t, s, "b1")
			first := s.Runs()
			_, _ = postBooking(t, s, "b1")
			got := fmt.Sprint(status, first.ByBooking["b1"], s.Runs().ByBooking["b1"], s.Runs().ByRequest["r-b1"])
			if want := fmt.Sprint(tc.status, tc.runs, tc.runsAfterSecondCall, tc.runsAfterSecondCall); got != want {
				t.Errorf("status and runs %s, want %s", got, want)
			}
		})
	}
}

func TestRestartBreaksCallsInProgress(t *testing.T) {
	s, err := Start("127.0.0.1:0", Config{Delay: 1 << 40})
	if err != nil {
		t.Fatal(err)
	}
	defer http.DefaultClient.CloseIdleConnections()
	defer func() { _ = s.Close() }()
	before := s.incarnation
	broken := make(chan error)
	go func() {
		_, err := postBooking(t, s, "b1")
		broken <- err
	}()
	for s.Runs().Total == 0 { // until the call runs
	}
	s.Inject(Faults{Restart: true})
	if err := <-broken; err == nil {
		t.Error("the call was answered")
	}
	if s.incarnation <= before {
		t.Error("same incarnation")
	}
}
