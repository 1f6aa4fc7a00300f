package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform is an http.RoundTripper that acts as the platform in virtual time, without sockets.
type fakePlatform struct {
	t           *testing.T
	start       time.Time
	respond     func(feed string, after string) (status int, body string)
	holdWatches bool // hold a watch until its wait time has passed instead of returning 304 at once
	calls       []string
}

func (s *fakePlatform) RoundTrip(r *http.Request) (*http.Response, error) {
	feed := strings.TrimPrefix(r.URL.Path, "/v1/feeds/")
	after := r.URL.Query().Get("after")
	if feed != "configuration" {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if r.Header.Get("X-Reader") != "a-1" {
		s.t.Error("a call without the X-Reader header")
	}
	s.calls = append(s.calls, fmt.Sprintf("%v after=%s", time.Since(s.start), after))
	status, body := s.respond(feed, after)
	if status == http.StatusNotModified && s.holdWatches {
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	if status == 0 {
		return nil, errors.New("down")
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
}

// runClient runs the client's configuration feed while watch runs and returns its events with their
// times. Of the PlatformDown events only the first one is recorded.
func runClient(t *testing.T, s *fakePlatform, watch func(c *Client)) []string {
	s.t = t
	s.start = time.Now()
	cfg := DefaultConfig("http://192.0.2.1", "a-1")
	var events []string
	record := func(ev core.Event) {
		if _, ok := ev.(core.PlatformUnreadable); ok && strings.Contains(fmt.Sprint(events), "down") {
			return
		}
		events = append(events, fmt.Sprintf("%v %s", time.Since(s.start), describe(ev)))
	}
	c := New(cfg, parse, record)
	c.http.Transport = s
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.feeds[0].run(ctx)
		close(done)
	}()
	synctest.Wait()
	watch(c)
	cancel()
	<-done
	return events
}

func parse(rev fleet.Revision, plans, _, _ string) (*fleet.Configuration, error) {
	if plans == "bad" {
		return nil, errors.New("bad list")
	}
	return &fleet.Configuration{Revision: rev}, nil
}

func describe(ev core.Event) string {
	switch ev := ev.(type) {
	case core.PublishedConfig:
		return fmt.Sprintf("config %d", ev.Config.Revision)
	case core.PublishedInvalid:
		return fmt.Sprintf("refused %d %s", ev.Revision, ev.Detail)
	case core.PlatformUnreadable:
		return "down"
	default:
		return fmt.Sprintf("%T", ev)
	}
}

func value(rev int, plans string) string {
	return fmt.Sprintf(`{"revision":%d,"plans":%q,"entitlements":"","state":""}`, rev, plans)
}

func expect(t *testing.T, what string, got, want []string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s:\ngot  %q\nwant %q", what, got, want)
	}
}

// TestReadsOnceAndWatchesWhenAsked checks the calls of a client that reads once and watches only
// while enabled.
func TestReadsOnceAndWatchesWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakePlatform{holdWatches: true}
		s.respond = func(_, after string) (int, string) {
			switch after {
			case "":
				return 200, value(3, "")
			case "3":
				return 200, value(5, "")
			default:
				return 304, ""
			}
		}
		events := runClient(t, s, func(c *Client) {
			time.Sleep(time.Minute)
			c.Watch(true)
			time.Sleep(30 * time.Second)
			c.Watch(false)
			time.Sleep(time.Hour)
		})
		expect(t, "events", events, []string{"0s config 3", "1m0s config 5"})
		expect(t, "calls", s.calls, []string{"0s after=", "1m0s after=3", "1m0.2s after=5", "1m20.2s after=5"})
	})
}

// TestValuesThatGoBack checks that values with a lower or equal revision and invalid values are not
// posted, that an invalid value is reported once, and that the rate of calls is bounded.
func TestValuesThatGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		values := []string{value(7, ""), value(6, ""), value(7, ""), value(8, "bad"), value(8, "bad"), value(9, "")}
		s := &fakePlatform{}
		s.respond = func(string, string) (int, string) {
			v := values[0]
			if len(values) > 1 {
				values = values[1:]
			}
			return 200, v
		}
		events := runClient(t, s, func(c *Client) {
			c.Watch(true)
			time.Sleep(time.Minute)
		})
		for i := range events {
			_, events[i], _ = strings.Cut(events[i], " ")
		}
		expect(t, "events", events, []string{"config 7", "refused 8 configuration: bad list", "config 9"})
		if n := len(s.calls); n < 12 || n > 40 {
			t.Errorf("%d calls in a minute", n)
		}
	})
}

// TestBacksOff bounds the calls to a platform that is down or returns invalid values.
func TestBacksOff(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		body   string
		event  string
	}{
		"down":            {0, "", "0s down"},
		"server error":    {500, "", "0s down"},
		"no JSON":         {200, "<html>", "0s refused 0"},
		"no revision":     {200, `{"plans":""}`, "0s refused 0"},
		"endless value":   {200, strings.Repeat(" ", maxValueBytes+1), "0s down"},
		"negative number": {200, `{"revision":-1}`, "0s refused 0"},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakePlatform{respond: func(string, string) (int, string) { return tc.status, tc.body }}
			events := runClient(t, s, func(c *Client) {
				c.Watch(true)
				time.Sleep(time.Minute)
			})
			if !strings.HasPrefix(events[0], tc.event) {
				t.Errorf("%s: %q", name, events[0])
			}
			if n := len(s.calls); n < 12 || n > 40 {
				t.Errorf("%s: %d calls in a minute", name, n)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(value(3, "x")))
	f.Add([]byte(`{"revision":1,"instances":[{"id":"a","data_centre":"d","peer_addr":"192.0.2.1:1"}]}`))
	f.Add([]byte(`{"revision":1,"endpoints":[{"id":"a","data_centre":"d","addr":"192.0.2.1:1","kind":1,"model":"m"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if rev, err := decodeRevision(b); err == nil && rev == 0 {
			t.Fatal("a value without a revision was accepted")
		}
		for _, decode := range []decoder{configDecoder(parse), decodeInstances, decodeEndpoints} {
			if ev, err := decode(b); (ev == nil) == (err == nil) {
				t.Fatalf("%q gave %v, %v", b, ev, err)
			}
		}
	})
}

func TestListsAreChecked(t *testing.T) {
	good := `{"id":"a","data_centre":"d","addr":"192.0.2.1:1","kind":1,"model":"m"}`
	for name, tc := range map[string]struct {
		decode decoder
		body   string
		ok     bool
	}{
		"endpoints":           {decodeEndpoints, `{"endpoints":[` + good + `]}`, true},
		"endpoint twice":      {decodeEndpoints, `{"endpoints":[` + good + `,` + good + `]}`, false},
		"host name":           {decodeEndpoints, `{"endpoints":[` + strings.Replace(good, "192.0.2.1", "engine", 1) + `]}`, false},
		"engine of a service": {decodeEndpoints, `{"endpoints":[` + strings.Replace(good, `"model"`, `"service"`, 1) + `]}`, false},
		"unknown kind":        {decodeEndpoints, `{"endpoints":[` + strings.Replace(good, `1,"model"`, `3,"model"`, 1) + `]}`, false},
		"negative capacity":   {decodeEndpoints, `{"endpoints":[` + strings.Replace(good, `{`, `{"capacity":-1,`, 1) + `]}`, false},
		"instance twice":      {decodeInstances, `{"instances":[{"id":"a","data_centre":"d","peer_addr":"192.0.2.1:1"},{"id":"a","data_centre":"d","peer_addr":"192.0.2.1:2"}]}`, false},
		"no data centre":      {decodeInstances, `{"instances":[{"id":"a","peer_addr":"192.0.2.1:1"}]}`, false},
		"instance":            {decodeInstances, `{"instances":[{"id":"a","data_centre":"d","peer_addr":"192.0.2.1:1"}]}`, true},
	} {
		if _, err := tc.decode([]byte(tc.body)); (err == nil) != tc.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
