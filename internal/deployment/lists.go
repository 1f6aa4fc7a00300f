package deployment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/standin/platform"
)

// SetOutOfService takes a data centre out of service, or back in, by publishing the state.
func (d *Deployment) SetOutOfService(ctx context.Context, dc fleet.DataCentreID, out bool) error {
	d.out[dc] = out
	return d.publishConfiguration(ctx)
}

// WaitConfiguration waits until the last published configuration is in force at all routers.
func (d *Deployment) WaitConfiguration(ctx context.Context) error {
	for _, r := range d.routers {
		for {
			var dump struct {
				Core struct {
					Revisions struct{ Configuration uint64 }
				}
			}
			err := d.call(ctx, http.MethodGet, r.OperatorAddr, "/dump", nil, &dump)
			if err == nil && dump.Core.Revisions.Configuration >= d.revision {
				break
			}
			select {
			case <-time.After(pollPeriod):
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "deployment: %s has configuration %d, not %d", r.ID, dump.Core.Revisions.Configuration, d.revision)
			}
		}
	}
	return nil
}

func (d *Deployment) publishConfiguration(ctx context.Context) error {
	d.revision++ // the platform counts alike
	return d.publish(ctx, platform.Configuration, platform.ConfigurationValue{
		Plans: d.plans(), Entitlements: d.entitlements(), State: d.state(),
	})
}

// plans returns the list of the customers' plans.
func (d *Deployment) plans() string {
	var b strings.Builder
	for _, w := range d.Spec.Workspaces {
		sum := sha256.Sum256([]byte(w.Key))
		fmt.Fprintf(&b, "[[workspace]]\nid = %q\nplan = %q\nkeys = [\"sha256:%s\"]\n\n", w.ID, w.Plan, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

// entitlements returns the list of what each plan may use.
func (d *Deployment) entitlements() string {
	var b strings.Builder
	for _, p := range d.Spec.Plans {
		fmt.Fprintf(&b, "[[plan]]\nid = %q\nmodels = %s\nservices = %s\npriority = %d\n\n",
			p.ID, list(p.Models), list(p.Services), p.Priority)
	}
	return b.String()
}

// state returns the service state of the data centres.
func (d *Deployment) state() string {
	var b strings.Builder
	for _, dc := range d.Spec.DataCentres {
		fmt.Fprintf(&b, "[[data_centre]]\nid = %q\nregion = %q\nin_service = %t\n\n", dc, d.Spec.Region, !d.out[dc])
	}
	return b.String()
}

func list[T ~string](ids []T) string {
	var quoted []string
	for _, id := range ids {
		quoted = append(quoted, fmt.Sprintf("%q", id))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
