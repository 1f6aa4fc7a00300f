package settings

import (
	"cmp"
	"math"
	"net/netip"
	"net/url"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/keys"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

// Limits of values that are narrower than their types.
const (
	maxLoadMultiple      = 100
	maxRampDuration      = time.Hour
	maxQueueLength       = 1 << 16
	maxWatchWait         = 5 * time.Minute
	maxDeadline          = 10 * time.Minute
	maxBodyBytes         = 64 * mebibyte
	minHeaderBytes       = kibibyte
	maxHeaderBytes       = mebibyte
	maxTicketLifetime    = 24 * time.Hour
	minTimeout           = 10 * time.Millisecond
	maxVerbosity         = 10
	maxRampStartRequests = 1 << 16
	minBodyBytes         = kibibyte
	minWatchWait         = time.Second
	minTicketLifetime    = time.Second
	maxDrainTimeout      = time.Hour
	maxBackoff           = time.Minute
	minBackoff           = time.Millisecond
	maxRetryRatio        = 1
	minLoadMultiple      = 1
	maxSeeds             = 32
)

// check validates the values and adds a fault to d for each invalid one.
func (s *Settings) check(d *tomldoc.Document) {
	s.Instance.check(d)
	s.Listen.check(d)
	s.Platform.check(d)
	s.Peers.check(d, s.Instance.ID)
	s.TLS.check(d)
	s.Load.check(d)
	s.Requests.check(d)
	s.Retry.check(d)
	s.Tickets.check(d)
	checkRange(d, "stop.drain_timeout", s.Stop.DrainTimeout, 0, maxDrainTimeout)
	checkRange(d, "log.verbosity", s.Log.Verbosity, 0, maxVerbosity)
}

func (i *Instance) check(d *tomldoc.Document) {
	if checkRequired(d, "instance.id", i.ID, "write the id that the platform's instance list has for this instance") {
		if err := keys.CheckInstanceID(i.ID); err != nil {
			d.Errorf("instance.id", "write the id as in the platform's instance list", "%v", err)
		}
	}
	checkRequired(d, "instance.data_centre", i.DataCentre, "write the id of the data centre in which this instance runs")
}

func (l *Listen) check(d *tomldoc.Document) {
	seen := map[string]string{}
	for _, a := range []struct{ path, addr, network string }{
		{"listen.callers", l.Callers, "tcp"},
		{"listen.peers", l.Peers, "udp"},
		{"listen.operator", l.Operator, "tcp"},
	} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			d.Errorf(a.path, `write an IP number and a port, as in "10.1.0.4:8080"`, "%s: %q is not IP:port", a.path, a.addr)
			continue
		}
		if other, ok := seen[a.network+a.addr]; ok {
			d.Errorf(a.path, "give each listener an address of its own", "%s is the same as %s", a.path, other)
		}
		seen[a.network+a.addr] = a.path
	}
}

func (p *Platform) check(d *tomldoc.Document) {
	const fix = `write the platform's address, as in "http://10.1.0.2:7070"`
	if checkRequired(d, "platform.url", p.URL, fix) {
		if !validPlatformURL(p.URL) {
			d.Errorf("platform.url", fix, "platform.url: %q is not an http or https URL with an IP number", p.URL)
		}
	}
	checkRange(d, "platform.watch_wait", p.WatchWait, minWatchWait, maxWatchWait)
}

func validPlatformURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

func (t *TLS) check(d *tomldoc.Document) {
	const fix = "name the file that 'dandelionvane certs' wrote"
	checkRequired(d, "tls.ca", t.CA, fix)
	checkRequired(d, "tls.certificate", t.Certificate, fix)
	checkRequired(d, "tls.key", t.Key, fix)
}

func (b *LoadBalancing) check(d *tomldoc.Document) {
	if !(b.Multiple > minLoadMultiple && b.Multiple <= maxLoadMultiple) {
		d.Errorf("load.multiple", "use a number above 1, as in 1.5", "load.multiple: %v is not above %v and at most %v", b.Multiple, minLoadMultiple, maxLoadMultiple)
	}
	checkRange(d, "load.ramp", b.Ramp, 0, maxRampDuration)
	checkRange(d, "load.ramp_start", b.RampStart, 1, maxRampStartRequests)
	checkRange(d, "load.max_queue", b.MaxQueue, 0, maxQueueLength)
	checkRange(d, "load.max_wait", b.MaxWait, 0, maxDeadline)
}

func (r *Requests) check(d *tomldoc.Document) {
	checkRange(d, "requests.default_deadline", r.DefaultDeadline, minTimeout, maxDeadline)
	checkRange(d, "requests.max_body_bytes", r.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	checkRange(d, "requests.max_header_bytes", r.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	checkRange(d, "requests.progress_timeout", r.ProgressTimeout, minTimeout, maxDeadline)
	checkRange(d, "requests.header_timeout", r.HeaderTimeout, minTimeout, maxDeadline)
}

func (r *Retry) check(d *tomldoc.Document) {
	if math.IsNaN(r.Ratio) {
		d.Errorf("retry.ratio", "use a number from 0 to 1", "retry.ratio is not a number")
	}
	checkRange(d, "retry.ratio", r.Ratio, 0, maxRetryRatio)
	checkRange(d, "retry.backoff_base", r.BackoffBase, minBackoff, maxBackoff)
	checkRange(d, "retry.backoff_max", r.BackoffMax, minBackoff, maxBackoff)
	if r.BackoffBase > r.BackoffMax {
		d.Errorf("retry.backoff_base", "make backoff_base at most backoff_max", "retry.backoff_base: %v is above backoff_max, %v", r.BackoffBase, r.BackoffMax)
	}
}

func (t *Tickets) check(d *tomldoc.Document) {
	checkRange(d, "tickets.ttl", t.TTL, minTicketLifetime, maxTicketLifetime)
	checkRange(d, "tickets.key_lifetime", t.KeyLifetime, minTicketLifetime, maxTicketLifetime)
}

func checkRequired(d *tomldoc.Document, path, value, fix string) bool {
	if value == "" {
		d.Errorf(path, fix, "%s is missing", path)
	}
	return value != ""
}

func checkRange[T cmp.Ordered](d *tomldoc.Document, path string, value, low, high T) {
	if value < low || value > high {
		d.Errorf(path, "use a value in that range", "%s: %v is not between %v and %v", path, value, low, high)
	}
}
