package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

var models = fleet.Pool{Region: "r", Model: "m"}

func testView(ids []fleet.EndpointID, out ...fleet.EndpointID) *fleet.View {
	es := []fleet.Endpoint{{ID: "other", DataCentre: "dc", Kind: fleet.Engine, Model: "other"}}
	for _, id := range ids {
		es = append(es, fleet.Endpoint{ID: id, DataCentre: "dc", Kind: fleet.Engine, Model: "m"})
	}
	c := &fleet.Configuration{
		DataCentres:           map[fleet.DataCentreID]fleet.DataCentre{"dc": {ID: "dc", Region: "r"}},
		EndpointsOutOfService: map[fleet.EndpointID]bool{},
	}
	for _, id := range out {
		c.EndpointsOutOfService[id] = true
	}
	return fleet.NewView(c, nil, &fleet.EndpointList{Endpoints: es})
}

func endpointIDs(n int) []fleet.EndpointID {
	var ids []fleet.EndpointID
	for i := range n {
		ids = append(ids, fleet.EndpointID(fmt.Sprintf("e%d", i)))
	}
	return ids
}

// order returns all endpoints in the order in which a plan tries them.
func order(p Plan, suggested ...fleet.EndpointID) []fleet.EndpointID {
	var ids []fleet.EndpointID
	for e := p.Next(suggested); e != nil; e = p.Next(suggested) {
		ids = append(ids, e.ID)
	}
	return ids
}

func TestRemovedEndpointMovesOnlyItsChats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := endpointIDs(rapid.IntRange(2, 30).Draw(t, "endpoints"))
		gone := rapid.IntRange(0, len(ids)-1).Draw(t, "gone")
		before := testView(ids)
		after := testView(slices.Delete(slices.Clone(ids), gone, gone+1))
		if rapid.Bool().Draw(t, "out") {
			after = testView(ids, ids[gone])
		}
		for chat := range uint64(50) {
			was, is := Rank(before, models, chat, ""), Rank(after, models, chat, "")
			i := 0
			if was[0].ID == ids[gone] {
				i = 1 // its chats move to their second-ranked endpoint
			}
			if is[0].ID != was[i].ID {
				t.Fatalf("chat %d moved from %s to %s when %s was removed", chat, was[0].ID, is[0].ID, ids[gone])
			}
		}
	})
}

func TestRankLeavesOutWhatIsNotInService(t *testing.T) {
	for _, e := range Rank(testView(endpointIDs(4), "e1"), models, 7, "") {
		if e.ID == "e1" || e.ID == "other" {
			t.Errorf("%s is ranked although it is out of service or in another pool", e.ID)
		}
	}
	if got := len(Rank(testView(endpointIDs(40)), models, 7, "")); got != maxRanked {
		t.Errorf("%d endpoints ranked", got)
	}
}

func TestHintPrefersOnlyAmongAllowedEndpoints(t *testing.T) {
	ids := endpointIDs(5)
	v := testView(ids, "e4")
	rank := order(NewPlan(v, []fleet.Pool{models}, 7, "", ""))
	for _, hint := range []fleet.EndpointID{"", "e4", "other", "none"} {
		if got := order(NewPlan(v, []fleet.Pool{models}, 7, "", hint)); !slices.Equal(got, rank) {
			t.Errorf("hint %q: order %v, want the ranking %v", hint, got, rank)
		}
	}
	for _, hint := range ids[:4] {
		got := order(NewPlan(v, []fleet.Pool{models}, 7, "", hint))
		if got[0] != hint || len(got) != len(rank) {
			t.Errorf("hint %q: order %v", hint, got)
		}
	}
}

func TestNextPrefersRoom(t *testing.T) {
	v := testView(endpointIDs(4), "e3")
	rank := order(NewPlan(v, []fleet.Pool{models}, 7, "", ""))
	want := []fleet.EndpointID{rank[0], rank[2], rank[1]}
	if got := order(NewPlan(v, []fleet.Pool{models}, 7, "", ""), "e3", "other", rank[2]); !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

func TestHintLife(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for age, want := range map[time.Duration]bool{
		0: true, HintTTL - time.Second: true, HintTTL: false, -HintTTL: false, 1 << 62: false,
	} {
		if got := (Hint{Issued: now.Add(-age).Unix()}).Fresh(now); got != want {
			t.Errorf("fresh at age %v: %v", age, got)
		}
	}
}

func TestHintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Hint{
			Endpoint:    fleet.EndpointID(rapid.StringN(0, 40, 100).Draw(t, "endpoint")),
			Incarnation: fleet.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			Issued:      rapid.Int64().Draw(t, "issued"),
		}
		if got, err := ParseHint(h.Format()); err != nil || got != h {
			t.Fatalf("%+v decoded as %+v, %v", h, got, err)
		}
	})
}

func FuzzParseHint(f *testing.F) {
	f.Add(Hint{Endpoint: "e0", Incarnation: 3, Issued: 1_800_000_000}.Format())
	f.Add("not a hint")
	f.Fuzz(func(t *testing.T, s string) {
		h, err := ParseHint(s)
		if err != nil && h != (Hint{}) {
			t.Errorf("returned %+v with error %v", h, err)
		}
		if err == nil && len(s) > maxHintBytes {
			t.Errorf("a hint of %d bytes was accepted", len(s))
		}
	})
}
