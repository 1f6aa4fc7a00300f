package engine

import (
	"container/list"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	blockTokens    = 16
	blockBytes     = blockTokens * bytesPerToken
	maxCacheEvents = 1024 // events kept for readers, the newest ones
)

// CacheEvent reports that a prefix block was stored in or evicted from the cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"` // "stored" or "evicted"
	Prefix string `json:"prefix"`
	at     time.Time
}

// prefixCache is an LRU cache of the hashes of prompt prefixes, in blocks of blockTokens tokens.
type prefixCache struct {
	maxBlocks    int
	dropEveryNth int        // every n-th event is lost; 0: none
	lru          *list.List // of uint64 hashes, most recently used first
	blocks       map[uint64]*list.Element
	seq          uint64
	events       []CacheEvent
}

func newPrefixCache(maxBlocks, dropEveryNth int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, dropEveryNth: dropEveryNth, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// prefixHashes returns the hash of each prefix of text that is a whole number of blocks, shortest first.
func prefixHashes(text string) []uint64 {
	var out []uint64
	d := xxhash.New()
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		_, _ = d.WriteString(text[:blockBytes])
		out = append(out, d.Sum64())
	}
	return out
}

// lookup returns the number of tokens in the longest cached prefix of the prompt.
func (c *prefixCache) lookup(prompt string) int {
	n := 0
	for _, h := range prefixHashes(prompt) {
		if c.blocks[h] == nil {
			break
		}
		n += blockTokens
	}
	return n
}

// store adds all prefixes of text, the longest first. The LRU order then evicts longer prefixes before shorter ones:
// lookup finds a prefix only while all shorter ones are cached.
func (c *prefixCache) store(text string, now time.Time) {
	hs := prefixHashes(text)
	for i := len(hs) - 1; i >= 0; i-- {
		if el := c.blocks[hs[i]]; el != nil {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[hs[i]] = c.lru.PushFront(hs[i])
		c.addEvent("stored", hs[i], now)
	}
	for c.lru.Len() > c.maxBlocks {
		h := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, h)
		c.addEvent("evicted", h, now)
	}
}

func (c *prefixCache) addEvent(kind string, h uint64, now time.Time) {
	c.seq++
	if c.dropEveryNth > 0 && c.seq%uint64(c.dropEveryNth) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Kind: kind, Prefix: fmt.Sprintf("%016x", h), at: now})
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// eventsAfter returns the events with a sequence number above seq that occurred at or before until.
func (c *prefixCache) eventsAfter(seq uint64, until time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(until) {
			out = append(out, e)
		}
	}
	return out
}
