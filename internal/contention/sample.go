package contention

import (
	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// sampleSize bounds the requests that are remembered. It is above the rate of a busy gateway
// (50/s) times Options.Window.
const sampleSize = 256

// observed is a request of the sample.
type observed struct {
	at        boottime.Instant
	key       uint32 // position in the order
	workspace uint32
	weight    float32 // in counts of the sample, see Controller.weigh
	variate   float32 // in [0, 1): the request is within its workspace's share if below the part that is
	preferred bool    // ordered as a returning caller
	admitted  bool
}

// requestSample is a ring of a gateway's recent requests.
type requestSample struct {
	entries    [sampleSize]observed
	start, len int
	sequence   uint64 // of requests, for their variates
}

func (s *requestSample) at(i int) *observed { return &s.entries[(s.start+i)%sampleSize] }

func (s *requestSample) push(o observed) {
	if s.len == sampleSize {
		s.start = (s.start + 1) % sampleSize
		s.len--
	}
	s.entries[(s.start+s.len)%sampleSize] = o
	s.len++
}

// expire removes the requests that are no longer compared with.
func (s *requestSample) expire(now boottime.Instant, opts *Options) {
	for s.len > 0 {
		age := now.Sub(s.at(0).at)
		if age <= opts.Window || age <= opts.MaxSampleAge && s.len <= opts.FullSample {
			return
		}
		s.start = (s.start + 1) % sampleSize
		s.len--
	}
}

// Layout of a key: 7 bits of level, the bits below, and the time left.
const (
	levelShift = 24
	aboveBit   = 1 << 23 // above the workspace's share
	newBit     = 1 << 22 // not preferred as a returning caller
	maxTime    = newBit - 1

	priorities = 10 // 0 to 9
	levels     = priorities * priorities
)

// level returns the position of a request's priorities: workspace priority first, then route priority.
// As elsewhere, the route's priority stands for a workspace priority that is not set.
func level(r *Request) uint32 {
	route := min(max(r.RoutePriority, 0), priorities-1)
	workspace := route
	if r.HasWorkspacePriority {
		workspace = min(max(r.WorkspacePriority, 0), priorities-1)
	}
	return uint32(workspace*priorities + route)
}

// variate returns a number in [0, 1) that depends only on a seed and an index (SplitMix64). Unlike a draw, it
// leaves the generator unchanged, so it can be given to requests before there is contention.
func variate(seed, index uint64) float32 {
	z := seed + index*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float32((z^z>>31)>>40) / (1 << 24)
}
