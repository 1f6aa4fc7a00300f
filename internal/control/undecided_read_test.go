package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// lateReader is a gateway whose reads of the store the test answers.
type lateReader struct {
	*control.State
	now  boottime.Instant
	sent boottime.Instant // of the read in progress
}

func newLateReader() *lateReader {
	now := boottime.Instant(time.Hour)
	self := mesh.Member{ID: "a-1", DataCentre: "a", Addr: "x:1", ControlAddr: "x:2"}
	return &lateReader{State: control.New(now, control.Options{Self: self, Protocol: publishedtest.Protocol{}}), now: now}
}

// awaitRead runs the gateway until it reads the whole store, for at most a second.
func (r *lateReader) awaitRead(t *testing.T) {
	t.Helper()
	for end := r.now.Add(time.Second); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		r.Tick(r.now)
		for _, a := range r.Drain() {
			if read, ok := a.(control.ReadStore); ok {
				if !read.Snapshot {
					t.Fatal("the read of unproven content is not of the whole store")
				}
				r.sent = r.now
				return
			}
		}
	}
	t.Fatal("no read of the store")
}

// receive passes a snapshot of a peer to the gateway, signed with the keys of a configuration.
func (r *lateReader) receive(revision fleet.Revision, c, signer *routing.Config) {
	u := wire.StoreUpdate{Revision: revision, Snapshot: true, Items: storeItems(revision, publishedtest.Config(c))}
	stateWith(r.now, publishedtest.Config(signer)).SignItems(r.now, &u, 0)
	r.PullDone(r.now, stranger, u, 0)
}

// answer passes the store's content to the gateway as the answer to the read in progress.
func (r *lateReader) answer(revision fleet.Revision, c *routing.Config) {
	it := publishedtest.Config(c)
	it.Revision = revision
	r.now = r.now.Add(5 * time.Millisecond)
	r.ReadDone(r.now, published.Update{Revision: revision, Snapshot: true, Coalesced: true, Confirmed: r.sent, Items: []published.Item{it}})
}

// expect fails the test unless the gateway has a version of the configuration, proven or not.
func (r *lateReader) expect(t *testing.T, version int64, proven bool) {
	t.Helper()
	if v := r.Dump(r.now).Store.ConfigVersion; v != version {
		t.Fatalf("configuration %d, want %d", v, version)
	}
	if got := r.Fingerprints(r.now) != nil; got != proven {
		t.Fatalf("proven: %v, want %v", got, proven)
	}
}

// TestLateReadDoesNotDecideOnLaterKeys guards against a read that discards, or proves, content with other API keys that was
// received after the read was sent.
func TestLateReadDoesNotDecideOnLaterKeys(t *testing.T) {
	former, later := config(1, "key"), config(2, "key", "later")
	for name, genuine := range map[string]bool{"genuine": true, "forged": false} {
		t.Run(name, func(t *testing.T) {
			r := newLateReader()
			r.awaitRead(t)
			r.receive(20, later, later)
			r.answer(10, former)
			r.expect(t, 2, false)
			r.awaitRead(t)
			if genuine {
				r.answer(20, later)
				r.expect(t, 2, true)
				return
			}
			r.answer(19, former)
			r.expect(t, 1, true)
		})
	}
}

// TestReadSentAfterForgedContentDiscardsIt guards against forged content of a high revision that stays.
func TestReadSentAfterForgedContentDiscardsIt(t *testing.T) {
	forged, genuine := config(9, "forged"), config(1, "key")
	r := newLateReader()
	r.receive(published.InEra(3, 1<<30), forged, forged)
	r.expect(t, 9, false)
	r.awaitRead(t)
	r.receive(published.InEra(3, 1<<31), config(10, "forged"), forged)
	r.answer(10, genuine)
	r.expect(t, 1, true)
}

// TestForgerThatFollowsTheStoreIsFoundOut guards against forged content that stays because its sender raises its revision beyond the
// store's while each read is under way.
func TestForgerThatFollowsTheStoreIsFoundOut(t *testing.T) {
	forged, genuine := config(9, "forged"), config(1, "key")
	r := newLateReader()
	store := fleet.Revision(100)
	r.receive(store, forged, forged)
	for range 3 {
		store += 50
		r.awaitRead(t)
		r.receive(store+20, forged, forged)
		r.answer(store, genuine)
		if r.Fingerprints(r.now) != nil {
			r.expect(t, 1, true)
			return
		}
	}
	t.Error("the forged content is still there after three reads")
}

// TestLateReadOfAFormerEra guards against a read that was answered before the store returned with an older copy, and that replaces
// what peers have read since.
func TestLateReadOfAFormerEra(t *testing.T) {
	for name, later := range map[string]*routing.Config{"same keys": config(2, "key"), "other keys": config(2, "key", "later")} {
		t.Run(name, func(t *testing.T) {
			r := newLateReader()
			r.awaitRead(t)
			r.receive(published.InEra(1, 5), later, later)
			r.answer(10, config(1, "key"))
			if v := r.Dump(r.now).Store.ConfigVersion; v != 2 {
				t.Errorf("configuration %d, want 2", v)
			}
		})
	}
}

// TestReadOfAnOlderCopyKeepsTheLaterConfiguration guards against a starting gateway that goes back to an older configuration, because the
// store has returned with a copy that lacks the one which its peers have in force.
func TestReadOfAnOlderCopyKeepsTheLaterConfiguration(t *testing.T) {
	later := config(2, "key")
	r := newLateReader()
	r.receive(20, later, later)
	r.awaitRead(t)
	r.answer(published.InEra(1, 15), config(1, "key"))
	r.expect(t, 2, true)
}
