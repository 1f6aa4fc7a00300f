package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/standin"
	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
	"github.com/dandelionvane/dandelionvane/internal/standin/platform"
	"github.com/dandelionvane/dandelionvane/internal/standin/service"
)

// call sends a request to a child process. A body that is not nil is sent as JSON, and the response is decoded into
// result if that is not nil.
func (d *Deployment) call(ctx context.Context, method, addr, path string, body, result any) error {
	var payload io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "deployment: encode request")
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, payload)
	if err != nil {
		return errors.Wrap(err, "deployment: create request")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "deployment: send request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("deployment: %s %s: %s", method, path, resp.Status)
	}
	if result == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(result), "deployment: decode %s", path)
}

func (d *Deployment) publish(ctx context.Context, f platform.Feed, value any) error {
	return d.call(ctx, http.MethodPut, d.platformAddr, "/control/feeds/"+string(f), value, nil)
}

// PlatformStats returns the read counts of the platform.
func (d *Deployment) PlatformStats(ctx context.Context) (s platform.Stats, err error) {
	err = d.call(ctx, http.MethodGet, d.platformAddr, "/control/stats", nil, &s)
	return s, err
}

// InjectPlatformFaults injects faults at the platform.
func (d *Deployment) InjectPlatformFaults(ctx context.Context, f platform.Faults) error {
	return d.call(ctx, http.MethodPut, d.platformAddr, "/control/faults", f, nil)
}

// EngineStats returns the counts of an engine.
func (d *Deployment) EngineStats(ctx context.Context, e Endpoint) (s engine.Stats, err error) {
	err = d.call(ctx, http.MethodGet, e.Addr, "/control/stats", nil, &s)
	return s, err
}

// InjectEngineFaults injects faults at an engine.
func (d *Deployment) InjectEngineFaults(ctx context.Context, e Endpoint, f engine.Faults) error {
	return d.call(ctx, http.MethodPut, e.Addr, "/control/faults", f, nil)
}

// Load returns the load report of an endpoint.
func (d *Deployment) Load(ctx context.Context, e Endpoint) (l standin.LoadReport, err error) {
	err = d.call(ctx, http.MethodGet, e.Addr, "/v1/load", nil, &l)
	return l, err
}

// ServiceRuns returns the execution counts of a service replica.
func (d *Deployment) ServiceRuns(ctx context.Context, e Endpoint) (r service.Runs, err error) {
	err = d.call(ctx, http.MethodGet, e.Addr, "/control/runs", nil, &r)
	return r, err
}

// InjectServiceFaults injects faults at a service replica.
func (d *Deployment) InjectServiceFaults(ctx context.Context, e Endpoint, f service.Faults) error {
	return d.call(ctx, http.MethodPut, e.Addr, "/control/faults", f, nil)
}

// endpointRequests returns the number of requests that an endpoint has accepted since its process started.
func (d *Deployment) endpointRequests(ctx context.Context, e Endpoint) (int, error) {
	if e.Kind == fleet.Engine {
		s, err := d.EngineStats(ctx, e)
		return s.Requests, err
	}
	r, err := d.ServiceRuns(ctx, e)
	return r.Total, err
}
