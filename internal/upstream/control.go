package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// CancelStream requests an engine to stop generating a stream.
func (c *Client) CancelStream(ctx context.Context, addr, stream string) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CancelTimeout)
	defer cancel()
	r, err := newHTTPRequest(ctx, http.MethodDelete, addr, streamsPath+url.PathEscape(stream), nil)
	if err != nil {
		return err
	}
	resp, err := c.attemptTransport.RoundTrip(r)
	if err != nil {
		return errors.Wrap(err, "upstream: cancel stream")
	}
	return errors.Wrap(resp.Body.Close(), "upstream: cancel stream")
}

// maxReportAge is the maximum age of a load report; an older one is rejected.
const maxReportAge = time.Hour

type loadReport struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Capacity    int    `json:"capacity"`
	AgeMS       int64  `json:"age_ms"`
}

// PollLoad reads an endpoint's load report.
func (c *Client) PollLoad(ctx context.Context, id fleet.EndpointID, addr string) (fleet.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.PollTimeout)
	defer cancel()
	r, err := newHTTPRequest(ctx, http.MethodGet, addr, loadPath, nil)
	if err != nil {
		return fleet.LoadReport{}, err
	}
	resp, err := c.pollTransport.RoundTrip(r)
	if err != nil {
		return fleet.LoadReport{}, errors.Wrap(err, "upstream: load report")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fleet.LoadReport{}, errors.Errorf("upstream: load report of %s: status %d", id, resp.StatusCode)
	}
	return decodeLoad(id, resp.Body)
}

func decodeLoad(id fleet.EndpointID, r io.Reader) (fleet.LoadReport, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxReportBytes))
	if err != nil {
		return fleet.LoadReport{}, errors.Wrap(err, "upstream: load report")
	}
	var rep loadReport
	if err := json.Unmarshal(b, &rep); err != nil {
		return fleet.LoadReport{}, errors.Wrap(err, "upstream: load report")
	}
	if rep.AgeMS > maxReportAge.Milliseconds() {
		return fleet.LoadReport{}, errors.Errorf("upstream: load report of %s is out of date", id)
	}
	if rep.Running < 0 || rep.Queued < 0 || rep.Capacity < 0 || rep.AgeMS < 0 {
		return fleet.LoadReport{}, errors.Errorf("upstream: load report of %s has a negative number", id)
	}
	return fleet.LoadReport{
		Endpoint:    id,
		Incarnation: fleet.Incarnation(rep.Incarnation),
		Running:     rep.Running,
		Queued:      rep.Queued,
		Capacity:    rep.Capacity,
		Age:         time.Duration(rep.AgeMS) * time.Millisecond,
	}, nil
}
