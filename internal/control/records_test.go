package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// unreadable returns an item whose value cannot be decoded.
func unreadable(it published.Item) published.Item {
	it.Value = []byte("{")
	return it
}

// signedRecords returns records of a peer, signed with the keys of a configuration.
func signedRecords(now boottime.Instant, signer *routing.Config, items ...published.Item) wire.StoreUpdate {
	const revision = 7
	m := wire.StoreUpdate{Revision: revision, After: revision, Items: storeItems(revision, items...)}
	stateWith(now, publishedtest.Config(signer)).SignItems(now, &m, 0)
	return m
}

// TestForgedRecordsAreRefused guards against a configuration that a gateway takes from anyone, as the record of one that cannot be read in
// the store.
func TestForgedRecordsAreRefused(t *testing.T) {
	now := boottime.Instant(time.Hour)
	genuine := config(1, "key")
	record := publishedtest.Config(genuine)
	unsigned := signedRecords(now, genuine, record)
	unsigned.Signature = nil
	update := signedRecords(now, genuine, record)
	update.After = 0
	stateWith(now, record).SignItems(now, &update, 0)
	for name, c := range map[string]struct {
		records  wire.StoreUpdate
		accepted bool
	}{
		"signed":                 {signedRecords(now, genuine, record), true},
		"unsigned":               {unsigned, false},
		"signed with other keys": {signedRecords(now, config(1, "forged"), record), false},
		"an update":              {update, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := stateWith(now, unreadable(record))
			s.RecordsPulled(now, "b-1", c.records)
			if adopted := s.Dump(now).Store.ConfigVersion == genuine.Version; adopted != c.accepted {
				t.Errorf("adopted: %v, want %v", adopted, c.accepted)
			}
		})
	}
}

// TestRecordsOfTheConfigurationStayUnproven guards against a forged configuration that a gateway keeps, because that of the store cannot
// be read: a seed that names other keys refutes it.
func TestRecordsOfTheConfigurationStayUnproven(t *testing.T) {
	now := boottime.Instant(time.Hour)
	stored := unreadable(publishedtest.Config(config(2, "key")))
	for name, c := range map[string]struct {
		seed *routing.Config
		want int64
	}{"confirmed": {config(1, "forged"), 1}, "refuted": {config(1, "key"), 0}} {
		t.Run(name, func(t *testing.T) {
			s := stateWith(now, stored)
			forged := config(1, "forged")
			s.RecordsPulled(now, "b-1", signedRecords(now, forged, publishedtest.Config(forged)))
			if v := s.Dump(now).Store.ConfigVersion; v != 1 {
				t.Fatalf("configuration %d, want 1: a gateway must become ready while the store's configuration cannot be read", v)
			}
			s.SeedKeys(now, stateWith(now, publishedtest.Config(c.seed)).Fingerprints(now))
			s.ReadDone(now, published.Update{Revision: 9, Snapshot: true, Coalesced: true, Confirmed: now, Items: []published.Item{stored}})
			if v := s.Dump(now).Store.ConfigVersion; v != c.want {
				t.Errorf("configuration %d, want %d", v, c.want)
			}
		})
	}
}
