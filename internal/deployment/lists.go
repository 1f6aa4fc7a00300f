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

// SetOutOfService takes a data centre out of service or returns it to service, by publishing the state list.
func (d *Deployment) SetOutOfService(ctx context.Context, dc fleet.DataCentreID, outOfService bool) error {
	d.outOfService[dc] = outOfService
	return d.publishConfiguration(ctx)
}

// WaitConfiguration waits until all routers have applied the last published configuration.
func (d *Deployment) WaitConfiguration(ctx context.Context) error {
	for _, r := range d.routers {
		for {
			var dump struct {
				Core struct {
					Revisions struct{ Configuration uint64 }
				}
			}
			err := d.call(ctx, http.MethodGet, r.OperatorAddr, "/dump", nil, &dump)
			if err == nil && dump.Core.Revisions.Configuration >= d.configurationRevision {
				break
			}
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "deployment: %s has configuration %d, not %d", r.ID, dump.Core.Revisions.Configuration, d.configurationRevision)
			}
		}
	}
	return nil
}

func (d *Deployment) publishConfiguration(ctx context.Context) error {
	d.configurationRevision++ // the platform also increments its revision with each publication
	return d.publish(ctx, platform.Configuration, platform.ConfigurationValue{
		Plans: d.plans(), Entitlements: d.entitlements(), State: d.state(),
	})
}

// plans returns the list of the workspaces and their plans.
func (d *Deployment) plans() string {
	var b strings.Builder
	for _, w := range d.Spec.Workspaces {
		sum := sha256.Sum256([]byte(w.APIKey))
		fmt.Fprintf(&b, "[[workspace]]\nid = %q\nplan = %q\nkeys = [\"sha256:%s\"]\n\n", w.ID, w.Plan, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

// entitlements returns the list of the models and services of each plan.
func (d *Deployment) entitlements() string {
	var b strings.Builder
	for _, p := range d.Spec.Plans {
		fmt.Fprintf(&b, "[[plan]]\nid = %q\nmodels = %s\nservices = %s\npriority = %d\n\n",
			p.ID, tomlArray(p.Models), tomlArray(p.Services), p.Priority)
	}
	return b.String()
}

// state returns the list of the data centres and whether they are in service.
func (d *Deployment) state() string {
	var b strings.Builder
	for _, dc := range d.Spec.DataCentres {
		fmt.Fprintf(&b, "[[data_centre]]\nid = %q\nregion = %q\nin_service = %t\n\n", dc, d.Spec.Region, !d.outOfService[dc])
	}
	return b.String()
}

func tomlArray[T ~string](ids []T) string {
	var quoted []string
	for _, id := range ids {
		quoted = append(quoted, fmt.Sprintf("%q", id))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
