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

// The bounds of settings whose type allows more.
const (
	maxMultiple   = 100
	maxRamp       = time.Hour
	maxQueue      = 1 << 16
	maxWatchWait  = 5 * time.Minute
	maxDeadline   = 10 * time.Minute
	maxBody       = 64 * mebibyte
	minHeader     = kibibyte
	maxHeader     = mebibyte
	maxLifetime   = 24 * time.Hour
	minTimeout    = 10 * time.Millisecond
	maxVerbosity  = 10
	maxRampStart  = 1 << 16
	minBody       = kibibyte
	minWatchWait  = time.Second
	minLifetime   = time.Second
	maxDrain      = time.Hour
	maxBackoff    = time.Minute
	minBackoff    = time.Millisecond
	maxRetryRatio = 1
	minMultiple   = 1
	maxSeeds      = 32
)

// check adds a fault to d for each value that makes no sense.
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
	within(d, "stop.drain_timeout", s.Stop.DrainTimeout, 0, maxDrain)
	within(d, "log.verbosity", s.Log.Verbosity, 0, maxVerbosity)
}

func (i *Instance) check(d *tomldoc.Document) {
	if required(d, "instance.id", i.ID, "write the id that the platform's instance list has for this instance") {
		if err := keys.CheckID(i.ID); err != nil {
			d.Errorf("instance.id", "write the id as in the platform's instance list", "%v", err)
		}
	}
	required(d, "instance.data_centre", i.DataCentre, "write the id of the data centre in which this instance runs")
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
	const mend = `write the platform's address, as in "http://10.1.0.2:7070"`
	if required(d, "platform.url", p.URL, mend) {
		if !validURL(p.URL) {
			d.Errorf("platform.url", mend, "platform.url: %q is not an http or https URL with an IP number", p.URL)
		}
	}
	within(d, "platform.watch_wait", p.WatchWait, minWatchWait, maxWatchWait)
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

func (t *TLS) check(d *tomldoc.Document) {
	const mend = "name the file that 'dandelionvane certs' wrote"
	required(d, "tls.ca", t.CA, mend)
	required(d, "tls.certificate", t.Certificate, mend)
	required(d, "tls.key", t.Key, mend)
}

func (b *LoadBalancing) check(d *tomldoc.Document) {
	if !(b.Multiple > minMultiple && b.Multiple <= maxMultiple) {
		d.Errorf("load.multiple", "use a number above 1, as in 1.5", "load.multiple: %v is not above %v and at most %v", b.Multiple, minMultiple, maxMultiple)
	}
	within(d, "load.ramp", b.Ramp, 0, maxRamp)
	within(d, "load.ramp_start", b.RampStart, 1, maxRampStart)
	within(d, "load.max_queue", b.MaxQueue, 0, maxQueue)
	within(d, "load.max_wait", b.MaxWait, 0, maxDeadline)
}

func (r *Requests) check(d *tomldoc.Document) {
	within(d, "requests.default_deadline", r.DefaultDeadline, minTimeout, maxDeadline)
	within(d, "requests.max_body_bytes", r.MaxBodyBytes, minBody, maxBody)
	within(d, "requests.max_header_bytes", r.MaxHeaderBytes, minHeader, maxHeader)
	within(d, "requests.progress_timeout", r.ProgressTimeout, minTimeout, maxDeadline)
	within(d, "requests.header_timeout", r.HeaderTimeout, minTimeout, maxDeadline)
}

func (r *Retry) check(d *tomldoc.Document) {
	if math.IsNaN(r.Ratio) {
		d.Errorf("retry.ratio", "use a number from 0 to 1", "retry.ratio is not a number")
	}
	within(d, "retry.ratio", r.Ratio, 0, maxRetryRatio)
	within(d, "retry.backoff_base", r.BackoffBase, minBackoff, maxBackoff)
	within(d, "retry.backoff_max", r.BackoffMax, minBackoff, maxBackoff)
	if r.BackoffBase > r.BackoffMax {
		d.Errorf("retry.backoff_base", "make backoff_base at most backoff_max", "retry.backoff_base: %v is above backoff_max, %v", r.BackoffBase, r.BackoffMax)
	}
}

func (t *Tickets) check(d *tomldoc.Document) {
	within(d, "tickets.ttl", t.TTL, minLifetime, maxLifetime)
	within(d, "tickets.key_lifetime", t.KeyLifetime, minLifetime, maxLifetime)
}

func required(d *tomldoc.Document, path, value, mend string) bool {
	if value == "" {
		d.Errorf(path, mend, "%s is missing", path)
	}
	return value != ""
}

func within[T cmp.Ordered](d *tomldoc.Document, path string, value, low, high T) {
	if value < low || value > high {
		d.Errorf(path, "use a value in that range", "%s: %v is not between %v and %v", path, value, low, high)
	}
}
