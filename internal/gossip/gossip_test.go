package gossip

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T, id string) *Transport {
	tr, err := Listen("127.0.0.1:0", "a-1", 7)
	if err != nil {
		t.Fatal(err)
	}
	tr.self = fleet.InstanceID(id)
	return tr
}

// TestMessages sends a message, and datagrams that are none, from one socket to another.
func TestMessages(t *testing.T) {
	from, to := listen(t, "a-1"), listen(t, "a-2")
	defer from.Close()
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan Received, 1)
	done := make(chan struct{})
	var faults []error
	go func() {
		to.Serve(ctx, func(r Received) { got <- r }, func(_ netip.AddrPort, err error) { faults = append(faults, err) })
		close(done)
	}()
	raw, err := net.Dial("udp", to.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	for _, b := range []string{"", "x", strings.Repeat("x", MaxBytes+9)} {
		if _, err := raw.Write([]byte(b)); err != nil {
			t.Fatal(err)
		}
	}
	if err := from.Send(to.Addr().String(), wire.Status{Revision: 5}); err != nil {
		t.Fatal(err)
	}
	r := <-got
	if s, ok := r.Message.(wire.Status); !ok || s.Revision != 5 || r.From != "a-1" || r.Incarnation != 7 {
		t.Errorf("got %+v", r)
	}
	cancel()
	<-done
	if s := to.Stats(); s.Malformed != 3 || s.PacketsIn != 4 || len(faults) != 3 {
		t.Errorf("stats %+v, faults %v", s, faults)
	}
}

// TestTooLarge: a message that does not fit a datagram is an error for its sender.
func TestTooLarge(t *testing.T) {
	tr := listen(t, "a-1")
	defer tr.Close()
	m := wire.Status{Update: &wire.StoreUpdate{Items: []wire.StoreItem{{Key: "k", Value: make([]byte, MaxBytes)}}}}
	if err := tr.Send(tr.Addr().String(), m); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v", err)
	}
}

// FuzzDecode: no datagram stops the process, and what is decoded is a message.
func FuzzDecode(f *testing.F) {
	tr := &Transport{self: "a-1", inc: 7}
	b, err := tr.Encode(wire.Status{Revision: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0x82, 0x63, 'a', '-', '1', 0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decode(b); err == nil && r.Message == nil {
			t.Error("no message and no error")
		}
	})
}
