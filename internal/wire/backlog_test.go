package wire

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// The types with the prefix old are copies of the messages of the version before Backlog.
type (
	oldStatus struct {
		_               struct{} `cbor:",toarray"`
		Timestamp       uint64
		Echo            uint64
		EchoAgeMS       uint64
		Revision        fleet.Revision
		Confirmed       bool
		ConfirmedAgeMS  uint64
		Stopping        bool
		StoreUnreadable bool
		InFlight        map[uint32]uint16
		FailureReports  []oldFailureReport
		Update          *oldStoreUpdate
		Hello           *oldHello
		Failed          map[uint32]uint16
		Summary         *oldLoadSummary
	}
	oldFailureReport struct {
		_          struct{} `cbor:",toarray"`
		Endpoint   uint32
		AgeMS      uint32
		NoResponse bool
	}
	oldLoadSummary struct {
		_        struct{} `cbor:",toarray"`
		Digest   uint32
		Gateways uint32
		Offset   uint32
		Counts   []byte
		Failed   map[uint32]uint16
	}
	oldHello struct {
		_          struct{} `cbor:",toarray"`
		DataCentre fleet.DataCentreID
		Addr       string
		Control    string
		CPUMillis  uint32
	}
	oldStoreItem struct {
		_        struct{} `cbor:",toarray"`
		Key      string
		Value    []byte
		Revision fleet.Revision
		Deleted  bool
	}
	oldStoreUpdate struct {
		_         struct{} `cbor:",toarray"`
		Revision  fleet.Revision
		Snapshot  bool
		After     fleet.Revision
		TooLarge  bool
		Items     []oldStoreItem
		Signature *Signature
	}
)

// oldFrame returns the encoding of a Status by the version before Backlog.
func oldFrame(t *testing.T, s oldStatus) []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	frame, err := cbor.Marshal(envelope{Kind: KindStatus, Header: Header{Incarnation: 7}, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// oldDecode decodes a Status as the version before Backlog does.
func oldDecode(t *testing.T, frame []byte) oldStatus {
	var env envelope
	if err := decMode.Unmarshal(frame, &env); err != nil {
		t.Fatal(err)
	}
	var s oldStatus
	if err := decMode.Unmarshal(env.Body, &s); err != nil {
		t.Fatalf("the version before rejects it: %v", err)
	}
	return s
}

func statuses() (Status, oldStatus) {
	return Status{
			Timestamp: 1 << 33, Echo: 5, EchoAgeMS: 70, Revision: 300, Confirmed: true, ConfirmedAgeMS: 900, InFlight: Counts{4: 1},
			FailureReports: []FailureReport{{Endpoint: 9, AgeMS: 20, NoResponse: true}}, Failed: Counts{8: 3},
			Hello:   &Hello{DataCentre: "a", Addr: "10.0.0.1:1", Control: "10.0.0.1:2", CPUMillis: 192},
			Summary: &LoadSummary{Digest: 77, Gateways: 20, Offset: 1, Counts: []byte{1, 2}, Failed: Counts{3: 1}},
		}, oldStatus{
			Timestamp: 1 << 33, Echo: 5, EchoAgeMS: 70, Revision: 300, Confirmed: true, ConfirmedAgeMS: 900, InFlight: map[uint32]uint16{4: 1},
			FailureReports: []oldFailureReport{{Endpoint: 9, AgeMS: 20, NoResponse: true}}, Failed: map[uint32]uint16{8: 3},
			Hello:   &oldHello{DataCentre: "a", Addr: "10.0.0.1:1", Control: "10.0.0.1:2", CPUMillis: 192},
			Summary: &oldLoadSummary{Digest: 77, Gateways: 20, Offset: 1, Counts: []byte{1, 2}, Failed: map[uint32]uint16{3: 1}},
		}
}

func testBacklog() *Backlog {
	return &Backlog{
		Digest:     1 << 31,
		Speeds:     []EndpointSpeed{{Position: 0, Percent: 250, AgeMS: 32}, {Position: 599, Percent: 100, AgeMS: 0}, {Position: 600, Percent: 1000, AgeMS: 992}},
		Reads:      []PendingRead{{Position: 3, Units: 2}, {Position: 400, Units: 40_000}},
		Workspaces: []WorkspaceLoad{{Workspace: 1 << 31, Requests: 500}, {Workspace: 2, Requests: 1}},
	}
}

// TestStatusWithoutBacklogIsUnchanged: a Status without a Backlog has the bytes that the version before sent, and those of
// the version before are decoded to the same. It guards against a change of the encoding for fleets with nothing to report.
func TestStatusWithoutBacklogIsUnchanged(t *testing.T) {
	s, old := statuses()
	for _, update := range []bool{false, true} {
		if update {
			s.Update = &StoreUpdate{Revision: 301, After: 300, Items: []StoreItem{{Key: "/k", Value: []byte("v"), Revision: 301}}}
			old.Update = &oldStoreUpdate{Revision: 301, After: 300, Items: []oldStoreItem{{Key: "/k", Value: []byte("v"), Revision: 301}}}
		}
		b, err := Encode(Frame{Header: Header{Incarnation: 7}, Message: s})
		if err != nil {
			t.Fatal(err)
		}
		if want := oldFrame(t, old); !bytes.Equal(b, want) {
			t.Errorf("update %t: encoded\n%x, by the version before\n%x", update, b, want)
		}
		f, err := Decode(oldFrame(t, old))
		if err != nil || !reflect.DeepEqual(f.Message, s) {
			t.Errorf("update %t: decoded %+v, error %v", update, f.Message, err)
		}
	}
}

// TestOldVersionIgnoresBacklog: the version before decodes a Status with a Backlog to the same Status with a store update
// that it ignores, because its revision is not later than any. It guards against a fleet of both versions in which the older
// gateways drop the messages of the newer ones as malformed.
func TestOldVersionIgnoresBacklog(t *testing.T) {
	s, want := statuses()
	s.Backlog = testBacklog()
	b, err := Encode(Frame{Header: Header{Incarnation: 7}, Message: s})
	if err != nil {
		t.Fatal(err)
	}
	got := oldDecode(t, b)
	if got.Update == nil || got.Update.Revision != 0 || got.Update.Snapshot || got.Update.TooLarge {
		t.Errorf("the update of the Status is %+v", got.Update)
	}
	got.Update = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	f, err := Decode(b)
	if err != nil || !reflect.DeepEqual(f.Message, s) {
		t.Errorf("this version decodes %+v, error %v", f.Message, err)
	}
}

// TestUpdateHasPrecedenceOverBacklog: changes of the store are never lost to a Backlog.
func TestUpdateHasPrecedenceOverBacklog(t *testing.T) {
	update := &StoreUpdate{Revision: 9, Items: []StoreItem{{Key: "/k", Revision: 9}}}
	b, err := Encode(Frame{Message: Status{Update: update, Backlog: testBacklog()}})
	if err != nil {
		t.Fatal(err)
	}
	f, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if s := f.Message.(Status); s.Backlog != nil || s.Update == nil || s.Update.Revision != 9 {
		t.Errorf("decoded %+v", s)
	}
}

// TestMalformedBacklogIsDropped: a Backlog that is cut, or that has far too many entries, leaves the rest of the Status valid.
func TestMalformedBacklogIsDropped(t *testing.T) {
	whole := testBacklog().append(nil)
	values := [][]byte{nil, {1}, append(whole[:4:4], 0xff, 0xff, 0xff, 0xff, 0x0f), bytes.Repeat([]byte{0xff}, 300)}
	for n := range whole {
		values = append(values, whole[:n])
	}
	for _, v := range values {
		b, err := Encode(Frame{Message: Status{Timestamp: 4, Update: &StoreUpdate{Items: []StoreItem{{Key: backlogKey, Value: v}}}}})
		if err != nil {
			t.Fatal(err)
		}
		f, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if s := f.Message.(Status); s.Backlog != nil || s.Update != nil || s.Timestamp != 4 {
			t.Errorf("%x: decoded %+v", v, s)
		}
	}
	b, err := parseBacklog(append(whole, 1, 2, 3))
	if err != nil || !reflect.DeepEqual(&b, testBacklog()) {
		t.Errorf("with further bytes of a later version: %+v, error %v", b, err)
	}
}

// drawBacklog returns a Backlog with values that its encoding preserves, with positions close together or far apart.
func drawBacklog(t *rapid.T) *Backlog {
	b := &Backlog{Digest: rapid.Uint32().Draw(t, "digest")}
	distance := rapid.SampledFrom([]uint32{1, 9, 1000}).Draw(t, "distance")
	positions := func() (out []uint32) {
		position := uint32(0)
		for range rapid.IntRange(0, 40).Draw(t, "entries") {
			position += rapid.Uint32Range(1, distance).Draw(t, "step")
			out = append(out, position-1)
		}
		return out
	}
	speeds := rapid.SampledFrom([]uint16{2, MaxPalette, 200}).Draw(t, "speeds")
	for _, position := range positions() {
		b.Speeds = append(b.Speeds, EndpointSpeed{
			Position: position,
			Percent:  speedStep * rapid.Uint16Range(1, speeds).Draw(t, "percent"),
			AgeMS:    ageStepMS * rapid.Uint32Range(0, maxAgeSteps).Draw(t, "age"),
		})
	}
	for _, position := range positions() {
		b.Reads = append(b.Reads, PendingRead{position, rapid.Uint32Range(0, 1<<31).Draw(t, "units")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "workspaces") {
		b.Workspaces = append(b.Workspaces, WorkspaceLoad{rapid.Uint32().Draw(t, "workspace"), rapid.Uint32Range(0, 1<<31).Draw(t, "requests")})
	}
	return b
}

// FuzzBacklog parses arbitrary bytes. What is accepted has no more entries than bits, in bounds, and is the same when it is encoded and
// parsed again.
func FuzzBacklog(f *testing.F) {
	f.Add(testBacklog().append(nil))
	f.Fuzz(func(t *testing.T, in []byte) {
		b, err := parseBacklog(in)
		if err != nil {
			return
		}
		if n := len(b.Speeds) + len(b.Reads) + len(b.Workspaces); n > 8*len(in) {
			t.Fatalf("%d bytes have %d entries", len(in), n)
		}
		for _, s := range b.Speeds {
			if s.Position > maxPosition || s.Percent == 0 {
				t.Fatalf("%+v", s)
			}
		}
		for i, s := range b.Speeds {
			b.Speeds[i].AgeMS = min(s.AgeMS, maxAgeSteps*ageStepMS)
		}
		if again, err := parseBacklog(b.append(nil)); err != nil || !reflect.DeepEqual(again, b) {
			t.Fatalf("%+v was parsed again as %+v, error %v", b, again, err)
		}
	})
}
