package feed

import (
	"bytes"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// recordOverheadBytes is the encoding overhead of a record besides its key and value.
const recordOverheadBytes = 6

// records is the content of a feed by record key. The values are never nil.
type records map[string][]byte

// changes maps record keys to new values. A nil value removes the record.
type changes map[string][]byte

// recordHash returns the contribution of one record to the content hash.
func recordHash(key string, value []byte) uint64 {
	return fleet.Weight(fleet.Hash(key), xxhash.Sum64(value))
}

// hash returns the content hash: the sum of the record hashes, independent of their order.
func (r records) hash() uint64 {
	var h uint64
	for k, v := range r {
		h += recordHash(k, v)
	}
	return h
}

// size estimates the encoded size of the content in bytes.
func (r records) size() int {
	n := 0
	for k, v := range r {
		n += len(k) + len(v) + recordOverheadBytes
	}
	return n
}

// diff returns the changes that turn r into other.
func (r records) diff(other records) changes {
	c := changes{}
	for k, v := range other {
		old, ok := r[k]
		if !ok || !bytes.Equal(old, v) {
			c[k] = v
		}
	}
	for k := range r {
		if _, ok := other[k]; !ok {
			c[k] = nil
		}
	}
	return c
}

// apply returns a copy of r with the changes applied.
func (r records) apply(c changes) records {
	out := make(records, len(r)+len(c))
	for k, v := range r {
		out[k] = v
	}
	for k, v := range c {
		if v == nil {
			delete(out, k)
			continue
		}
		out[k] = v
	}
	return out
}

// invert returns the changes that undo c. It must be called on the content before c is applied.
func (r records) invert(c changes) changes {
	u := make(changes, len(c))
	for k := range c {
		u[k] = r[k]
	}
	return u
}

// merge adds later changes to c, overriding earlier ones.
func (c changes) merge(later changes) {
	for k, v := range later {
		c[k] = v
	}
}

// size estimates the encoded size of the changes in bytes.
func (c changes) size() int {
	n := 0
	for k, v := range c {
		n += len(k) + len(v) + recordOverheadBytes
	}
	return n
}

// fillDelta returns d with the changes added, sorted by key.
func (c changes) fillDelta(d wire.Delta) wire.Delta {
	keys := make([]string, 0, len(c))
	for k := range c {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if v := c[k]; v != nil {
			d.Upserts = append(d.Upserts, wire.Record{Key: k, Value: v})
			continue
		}
		d.Removes = append(d.Removes, k)
	}
	return d
}

// changesFromDelta returns the changes that a delta carries.
func changesFromDelta(d *wire.Delta) changes {
	c := make(changes, len(d.Upserts)+len(d.Removes))
	for _, k := range d.Removes {
		c[k] = nil
	}
	for _, r := range d.Upserts {
		c[r.Key] = nonNil(r.Value)
	}
	return c
}

func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}
