package redeem

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

var t0 = time.Unix(1_000_000, 0)

func newTestServer(self fleet.InstanceID, change func(*Options)) *Server {
	opt := testOptions()
	opt.Self, opt.DataCentre, opt.Incarnation = self, testDataCentre, 1
	if change != nil {
		change(&opt)
	}
	return NewServer(opt, rand.New(rand.NewPCG(1, fleet.Hash(string(self)))))
}

func issueTicket(t *testing.T, s *Server) wire.TicketID {
	t.Helper()
	texts, _ := s.Issue(t0, testWorkspace, 1)
	id, err := ParseTicket(texts[0])
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// TestRecord applies sequences of Redeem and Settle to one ticket. A step {"a", "1", "granted"} redeems it
// for request a with request hash 1 and expects the result "granted". {"a", "-", "notrun"} settles request a
// with that outcome, {"a", "-x", "notrun"} does so from another router. {"+10s"} advances the time,
// {"gone"} marks the holder as gone.
func TestRecord(t *testing.T) {
	results := map[string]wire.RedeemResult{
		"granted": wire.RedeemGranted, "pending": wire.RedeemPending, "done": wire.RedeemDone,
		"unknown": wire.RedeemUnknown, "mismatch": wire.RedeemMismatch, "invalid": wire.RedeemInvalid,
	}
	settles := map[string]wire.SettleOutcome{
		"notrun": wire.SettleNotRun, "answered": wire.SettleAnswered, "unknown": wire.SettleUnknown,
	}
	for _, tc := range []struct {
		name  string
		steps [][3]string
	}{
		{"repeated by the holder", [][3]string{{"a", "1", "granted"}, {"a", "1", "granted"}, {"b", "1", "pending"}}},
		{"answered", [][3]string{{"a", "1", "granted"}, {"a", "-", "answered"}, {"a", "1", "done"}, {"b", "1", "done"}}},
		{"answered is final", [][3]string{{"a", "1", "granted"}, {"a", "-", "answered"}, {"a", "-", "notrun"}, {"b", "1", "done"}}},
		{"outcome unknown", [][3]string{{"a", "1", "granted"}, {"a", "-", "unknown"}, {"a", "-", "notrun"}, {"b", "1", "unknown"}}},
		{"not run frees the right", [][3]string{{"a", "1", "granted"}, {"a", "-", "notrun"}, {"b", "1", "granted"}}},
		{"attempt not run is never granted again", [][3]string{{"a", "1", "granted"}, {"a", "-", "notrun"}, {"a", "1", "unknown"}, {"b", "1", "granted"}}},
		{"settle overtakes redeem", [][3]string{{"a", "-", "notrun"}, {"a", "1", "unknown"}, {"b", "1", "granted"}}},
		{"not run from an attempt without the right", [][3]string{{"a", "1", "granted"}, {"b", "-", "notrun"}, {"c", "1", "pending"}}},
		{"not run from another router", [][3]string{{"a", "1", "granted"}, {"a", "-x", "notrun"}, {"b", "1", "pending"}}},
		{"digest is kept after not run", [][3]string{{"a", "1", "granted"}, {"a", "-", "notrun"}, {"b", "2", "mismatch"}, {"b", "1", "granted"}}},
		{"unresponsive holder", [][3]string{{"a", "1", "granted"}, {"+9s"}, {"b", "1", "unknown"}, {"a", "-", "answered"}, {"b", "1", "done"}}},
		{"holder gone", [][3]string{{"a", "1", "granted"}, {"gone"}, {"b", "1", "unknown"}, {"+9s"}, {"b", "1", "unknown"}}},
		{"holder gone, settles late", [][3]string{{"a", "1", "granted"}, {"gone"}, {"a", "-", "answered"}, {"b", "1", "done"}}},
		{"holder gone, not run", [][3]string{{"a", "1", "granted"}, {"gone"}, {"a", "-", "notrun"}, {"b", "1", "granted"}, {"c", "1", "pending"}}},
		{"gone before the grant", [][3]string{{"gone"}, {"a", "1", "granted"}, {"b", "1", "pending"}}},
		{"expired unused", [][3]string{{"+21s"}, {"a", "1", "invalid"}}},
		{"expired after not run", [][3]string{{"a", "1", "granted"}, {"a", "-", "notrun"}, {"+21s"}, {"b", "1", "invalid"}}},
		{"record expired", [][3]string{{"a", "1", "granted"}, {"a", "-", "answered"}, {"+50s"}, {"b", "1", "unknown"}}},
	} {
		s := newTestServer("n", nil)
		ticket := issueTicket(t, s)
		now := t0
		for i, st := range tc.steps {
			switch {
			case st[0][0] == '+':
				d, _ := time.ParseDuration(st[0][1:])
				now = now.Add(d)
				s.Tick(now, nil, nil)
			case st[0] == "gone":
				s.MarkHolderGone("from")
			case st[1][0] == '-':
				m := wire.Settle{Ticket: ticket, Workspace: testWorkspace, Request: fleet.RequestID(st[0]), Outcome: settles[st[2]]}
				s.OnSettle(now, fleet.InstanceID("from"+st[1][1:]), m)
			default:
				m := wire.Redeem{Ticket: ticket, Workspace: testWorkspace, Request: fleet.RequestID(st[0]), RequestHash: uint64(st[1][0])}
				if got, ok := s.OnRedeem(now, "from", m, nil); !ok || got.Result != results[st[2]] {
					t.Errorf("%s, step %d: result %d, want %s", tc.name, i, got.Result, st[2])
				}
			}
		}
	}
}

// TestManyAttemptsKeepRight checks that a ticket can be redeemed after many attempts that settled as not
// run, as under overload, that the newest of them are not granted the right again, and that the number of
// stored attempts is bounded.
func TestManyAttemptsKeepRight(t *testing.T) {
	s := newTestServer("n", nil)
	ticket := issueTicket(t, s)
	redeem := func(i int) wire.RedeemResult {
		m := wire.Redeem{Ticket: ticket, Workspace: testWorkspace, Request: fleet.RequestID(fmt.Sprint("r", i))}
		got, _ := s.OnRedeem(t0, "from", m, nil)
		return got.Result
	}
	for i := range 3 * maxNotRunAttempts {
		if got := redeem(i); got != wire.RedeemGranted {
			t.Fatalf("attempt %d: result %d", i, got)
		}
		m := wire.Settle{Ticket: ticket, Workspace: testWorkspace, Request: fleet.RequestID(fmt.Sprint("r", i)), Outcome: wire.SettleNotRun}
		s.OnSettle(t0, "from", m)
		for back := range min(i+1, maxNotRunAttempts) {
			if got := redeem(i - back); got != wire.RedeemUnknown {
				t.Fatalf("attempt %d again after %d: result %d", i-back, i, got)
			}
		}
	}
	if n := len(s.registries[s.self].tickets[ticket.Seq].notRunAttempts); n > maxNotRunAttempts {
		t.Errorf("%d attempts are stored as not run", n)
	}
}

// TestForeignTickets checks the results for tickets that this router did not issue, or not to the
// workspace of the request.
func TestForeignTickets(t *testing.T) {
	s := newTestServer("n", nil)
	good := issueTicket(t, s)
	for _, tc := range []struct {
		name   string
		change func(*wire.Redeem)
		want   wire.RedeemResult
	}{
		{"other incarnation", func(m *wire.Redeem) { m.Ticket.Incarnation++ }, wire.RedeemNotOwner},
		{"other issuer", func(m *wire.Redeem) { m.Ticket.Issuer = "o" }, wire.RedeemNotOwner},
		{"other workspace", func(m *wire.Redeem) { m.Workspace = "o" }, wire.RedeemInvalid},
		{"forged nonce", func(m *wire.Redeem) { m.Ticket.Nonce++ }, wire.RedeemInvalid},
		{"never issued", func(m *wire.Redeem) { m.Ticket.Seq++ }, wire.RedeemInvalid},
		{"good", func(*wire.Redeem) {}, wire.RedeemGranted},
	} {
		m := wire.Redeem{Ticket: good, Workspace: testWorkspace, Request: "r"}
		tc.change(&m)
		if got, _ := s.OnRedeem(t0, "from", m, nil); got.Result != tc.want {
			t.Errorf("%s: result %d, want %d", tc.name, got.Result, tc.want)
		}
	}
}

// TestFullServerRefuses checks that a server at its limits rejects new tickets and keys instead of
// dropping records.
func TestFullServerRefuses(t *testing.T) {
	s := newTestServer("n", func(o *Options) { o.MaxTickets, o.MaxKeys, o.MaxRecordsPerWorkspace = 10, 3, 8 })
	for _, tc := range []struct {
		ws   fleet.WorkspaceID
		want int
	}{{"a", 8}, {"a", 0}, {"b", 2}, {"b", 0}} {
		got, retry := s.Issue(t0, tc.ws, 9)
		if len(got) != tc.want || (tc.want == 0) != (retry > 0) {
			t.Errorf("workspace %s: %d tickets, retry after %v, want %d", tc.ws, len(got), retry, tc.want)
		}
	}
	ownedSince := func(int) (time.Time, bool) { return t0.Add(-time.Hour), true }
	for i := range 5 {
		m := wire.Redeem{Key: fmt.Sprint("k", i), Workspace: "c", Request: "r"}
		got, _ := s.OnRedeem(t0, "from", m, ownedSince)
		want := wire.RedeemGranted
		if i >= 3 {
			want = wire.RedeemFull
		}
		if got.Result != want {
			t.Errorf("key %d: result %d, want %d", i, got.Result, want)
		}
	}
	s.Tick(t0.Add(time.Hour), nil, nil)
	if st := s.Stats(); st.Tickets != 0 || st.Keys != 0 || len(s.perWorkspace) != 0 {
		t.Errorf("records left after an hour: %+v", st)
	}
}

// TestStoredResponsesAreBounded checks that a response beyond the size limits is not stored and that its
// request is still reported as run.
func TestStoredResponsesAreBounded(t *testing.T) {
	s := newTestServer("n", func(o *Options) { o.MaxStoredResponseBytes, o.MaxResponseBytes = 250, 100 })
	texts, _ := s.Issue(t0, testWorkspace, 4)
	for i, size := range []int{101, 100, 100, 100} {
		ticket, _ := ParseTicket(texts[i])
		s.OnRedeem(t0, "from", wire.Redeem{Ticket: ticket, Workspace: testWorkspace, Request: "r"}, nil)
		resp := &wire.StoredResponse{Body: make([]byte, size)}
		s.OnSettle(t0, "from", wire.Settle{Ticket: ticket, Workspace: testWorkspace, Request: "r", Outcome: wire.SettleAnswered, Response: resp})
		got, _ := s.OnRedeem(t0, "from", wire.Redeem{Ticket: ticket, Workspace: testWorkspace, Request: "r2"}, nil)
		if kept := i == 1 || i == 2; got.Result != wire.RedeemDone || (got.Response != nil) != kept {
			t.Errorf("response %d: result %d, stored %v", i, got.Result, got.Response != nil)
		}
	}
	if more, retry := s.Issue(t0, testWorkspace, 1); s.storedBytes > 250 || len(more) > 0 || retry == 0 {
		t.Errorf("%d bytes are stored, %d tickets were issued", s.storedBytes, len(more))
	}
}
