package deployment

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const metricPrefix = "dandelionvane_"

// Metrics maps the name and labels of each metric of a router, without the common prefix, to its value.
type Metrics map[string]float64

// Metrics reads the metrics of a router.
func (d *Deployment) Metrics(ctx context.Context, r *Router) (Metrics, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.OperatorAddr+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "deployment: create metrics request")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "deployment: request metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("deployment: metrics of %s: %s", r.ID, resp.Status)
	}
	return parseMetrics(resp.Body)
}

// parseMetrics reads the Prometheus text format.
func parseMetrics(r io.Reader) (Metrics, error) {
	m := Metrics{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		sep := strings.LastIndexByte(line, ' ')
		if sep < 0 {
			return nil, errors.Errorf("deployment: metric %q has no value", line)
		}
		v, err := strconv.ParseFloat(line[sep+1:], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "deployment: metric %q", line)
		}
		m[strings.TrimPrefix(line[:sep], metricPrefix)] = v
	}
	return m, errors.Wrap(lines.Err(), "deployment: read metrics")
}

// Traffic is the total control traffic of a router process since its start.
type Traffic struct {
	Bytes float64   // UDP payload, both directions
	At    time.Time // of the reading
}

// Traffic reads the control traffic of a router.
func (d *Deployment) Traffic(ctx context.Context, r *Router) (Traffic, error) {
	m, err := d.Metrics(ctx, r)
	return Traffic{Bytes: m["control_bytes_sent"] + m["control_bytes_received"], At: time.Now()}, err
}

// Rate returns the mean bytes per second from an earlier reading of the same process to this one.
func (t Traffic) Rate(since Traffic) float64 {
	return (t.Bytes - since.Bytes) / t.At.Sub(since.At).Seconds()
}
