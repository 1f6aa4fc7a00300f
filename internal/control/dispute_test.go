package control_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// formerKeys and laterKeys are two configurations with different API keys. The store has lost the later one in some tests.
var (
	formerKeys = config(1, "key")
	laterKeys  = config(2, "key", "later")
)

// copiedRevision is that of the copy with which the store returns in these tests.
var copiedRevision = published.InEra(1, 15)

// signedSnapshot returns a snapshot of a configuration, signed with the keys of the same or another one.
func signedSnapshot(r *lateReader, c, signer *routing.Config) wire.StoreUpdate {
	u := wire.StoreUpdate{Revision: copiedRevision, Snapshot: true, Items: storeItems(copiedRevision, publishedtest.Config(c))}
	stateWith(r.now, publishedtest.Config(signer)).SignItems(r.now, &u, 0)
	return u
}

// lateReaderAfterLoss returns a gateway with the later configuration, which has read a copy of the store that lacks it.
func lateReaderAfterLoss(t *testing.T) *lateReader {
	t.Helper()
	r := newLateReader()
	r.SeedReplied(r.now, []mesh.Member{{ID: "b-1", DataCentre: "b", Addr: "y:1", ControlAddr: "y:2"}})
	r.receive(20, laterKeys, laterKeys)
	r.awaitRead(t)
	r.Receive(r.now, "b-1", 1, wire.Status{Timestamp: 1, Revision: 20})
	r.Drain()
	r.answer(copiedRevision, formerKeys)
	r.expect(t, 2, false)
	r.Tick(r.now)
	return r
}

// askedForProof returns the peers that were asked for a proof, with the ID of a key.
func askedForProof(r *lateReader) (peers []fleet.InstanceID, key uint32) {
	for _, a := range r.Drain() {
		if p, ok := a.(control.PullItems); ok && p.After == 0 {
			peers, key = append(peers, p.From), p.Key
		}
	}
	return peers, key
}

// TestLostKeysAreKeptOnAPeersProof guards against a starting gateway that goes back to older content: the store returns with a copy that
// lacks the configuration which the gateway has from its peers, and which has new API keys.
func TestLostKeysAreKeptOnAPeersProof(t *testing.T) {
	r := lateReaderAfterLoss(t)
	proof := signedSnapshot(r, laterKeys, formerKeys)
	if peers, key := askedForProof(r); len(peers) != 1 || key != proof.Signature.KeyID {
		t.Errorf("asked %v for a proof with the key %x, want the one peer, and the key of the store's configuration", peers, key)
	}
	r.PullDone(r.now, "b-1", proof, 0)
	r.expect(t, 2, true)
	r.now = r.now.Add(5 * time.Second)
	r.ReadDone(r.now, storeUpdate(r, copiedRevision+1, formerKeys))
	r.expect(t, 2, true)
}

// TestTwoUndecidedReadsKeepGenuineContent guards against a gateway that goes back to older content, because the read which is to decide on
// later keys meets a store that has lost them. A seed that is unproven itself names no keys, and decides nothing.
func TestTwoUndecidedReadsKeepGenuineContent(t *testing.T) {
	r := newLateReader()
	r.SeedReplied(r.now, []mesh.Member{{ID: "b-1", DataCentre: "b", Addr: "y:1", ControlAddr: "y:2"}})
	r.awaitRead(t)
	r.receive(20, laterKeys, laterKeys)
	r.answer(10, formerKeys)
	r.expect(t, 2, false)
	r.awaitRead(t)
	r.answer(copiedRevision, formerKeys)
	r.SeedKeys(r.now, nil)
	r.expect(t, 2, false)
	r.PullDone(r.now, "b-1", signedSnapshot(r, laterKeys, formerKeys), 0)
	r.expect(t, 2, true)
}

// TestForgedProofIsRefused guards against forged content that stays, because a process that does not know the keys of the store's
// configuration claims to prove it, or one that knows them has other content.
func TestForgedProofIsRefused(t *testing.T) {
	for name, proof := range map[string]func(r *lateReader) wire.StoreUpdate{
		"signed with its own keys": func(r *lateReader) wire.StoreUpdate { return signedSnapshot(r, laterKeys, laterKeys) },
		"of other content":         func(r *lateReader) wire.StoreUpdate { return signedSnapshot(r, formerKeys, formerKeys) },
		"not the whole content": func(r *lateReader) wire.StoreUpdate {
			u := signedSnapshot(r, laterKeys, formerKeys)
			u.Snapshot = false
			return u
		},
		"unsigned": func(r *lateReader) wire.StoreUpdate {
			u := signedSnapshot(r, laterKeys, formerKeys)
			u.Signature = nil
			return u
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := lateReaderAfterLoss(t)
			r.PullDone(r.now, "b-1", proof(r), 0)
			r.expect(t, 2, false)
			r.now = r.now.Add(time.Second)
			r.awaitRead(t)
			r.answer(copiedRevision+1, formerKeys)
			r.expect(t, 1, true)
		})
	}
}

// TestDisputeEndsInTime guards against a gateway that stays with old content because the read which is to decide does not end: an
// evacuation that peers publish meanwhile must be in force within two seconds.
func TestDisputeEndsInTime(t *testing.T) {
	r := lateReaderAfterLoss(t)
	evacuation := wire.StoreUpdate{Revision: copiedRevision + 15, After: 20, Items: storeItems(copiedRevision+15, publishedtest.Evacuation("b"))}
	stateWith(r.now, publishedtest.Config(laterKeys)).SignItems(r.now, &evacuation, 0)
	began := r.now
	for len(r.Dump(r.now).Evacuated) == 0 {
		if r.now.Sub(began) > changeBound {
			t.Fatal("the evacuation is not in force after two seconds")
		}
		r.now = r.now.Add(10 * time.Millisecond)
		r.Tick(r.now)
		r.Drain()
		r.PullDone(r.now, "b-1", evacuation, 0)
	}
	if r.now == began.Add(10*time.Millisecond) {
		t.Error("the evacuation was accepted while the content was disputed")
	}
}

// TestForgerCannotKeepContentDisputed guards against forged content that stays because its sender claims a later revision whenever it is
// accepted: after each read, and after reads that fail.
func TestForgerCannotKeepContentDisputed(t *testing.T) {
	forged := config(9, "forged")
	r := newLateReader()
	store, claimed := fleet.Revision(100), fleet.Revision(100)
	claim := func() {
		claimed += 50
		r.receive(claimed, forged, forged)
	}
	claim()
	for range 5 {
		for _, fails := range []bool{false, true} {
			r.awaitRead(t)
			claim()
			if fails {
				r.now = r.now.Add(300 * time.Millisecond)
				r.ReadFailed(r.now, errors.New("timed out"))
				continue
			}
			store = claimed - 25
			r.answer(store, formerKeys)
		}
		r.now = r.now.Add(time.Second)
	}
	r.expect(t, 9, false) // every other read fails, so that none decides
	for range 2 {
		r.awaitRead(t)
		claim()
		store = claimed - 25
		r.answer(store, formerKeys)
	}
	r.expect(t, 1, true)
}

// storeUpdate returns the store's content as the answer to a read that is sent now.
func storeUpdate(r *lateReader, revision fleet.Revision, c *routing.Config) published.Update {
	it := publishedtest.Config(c)
	it.Revision = revision
	return published.Update{Revision: revision, Snapshot: true, Coalesced: true, Confirmed: r.now, Items: []published.Item{it}}
}
