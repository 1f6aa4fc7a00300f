package router

import (
	"encoding/json"
	"testing"
)

// TestSeedsReplaceThePlatformAtStart starts a router while the platform is down. It must
// receive the configuration, the instances and the endpoints from a seed peer.
func TestSeedsReplaceThePlatformAtStart(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	late := f.routers[2]
	late.stop()
	f.check(<-late.done)
	f.check(f.platform.Close())

	seed := f.routers[0].settings
	late.settings.Peers.Seeds = []string{seed.Instance.ID + "=" + seed.Listen.Peers}
	f.start(late)
	f.waitReady(late)

	want, got := f.dump(0).Core.Revisions, f.dump(2).Core.Revisions
	if got != want || got.Configuration == 0 || got.Instances == 0 || got.Endpoints == 0 {
		t.Errorf("revisions %+v, those of the seed %+v", got, want)
	}
	f.checkStream(2)
}

func (f *testFleet) dump(i int) Dump {
	f.t.Helper()
	_, text := f.getFromOperator(i, "/dump")
	var d Dump
	f.check(json.Unmarshal([]byte(text), &d))
	return d
}
