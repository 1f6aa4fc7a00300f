package deployment

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

const secretFile = "secret" // of the tokens that resume a stream through any router

const settingsFormat = `[instance]
id = %q
data_centre = %q

[listen]
callers = %q
peers = %q
operator = %q

[platform]
url = "http://%s"

[peers]
seeds = %s

[tls]
ca = %q
certificate = %q
key = %q
secret = %q
`

func (d *Deployment) file(name string) string { return filepath.Join(d.opts.Dir, name) }

// settings returns the settings file of a router.
func (d *Deployment) settings(r *Router) string {
	id := string(r.ID)
	return fmt.Sprintf(settingsFormat, id, r.DataCentre, r.CallerAddr, r.PeerAddr, r.OperatorAddr, d.platform, list(d.seeds(r)),
		d.file("ca.pem"), d.file(id+".pem"), d.file(id+"-key.pem"), d.file(secretFile))
}

// seeds returns the other routers, which one asks that starts while the platform is down.
func (d *Deployment) seeds(r *Router) []string {
	var out []string
	for _, other := range d.routers {
		if other != r {
			out = append(out, string(other.ID)+"="+other.PeerAddr)
		}
	}
	return out
}

// writeKeys makes a certificate authority, a certificate for each router and their common secret.
func (d *Deployment) writeKeys(ctx context.Context) error {
	var ids []string
	for _, r := range d.routers {
		ids = append(ids, string(r.ID))
	}
	program := filepath.Join(d.opts.BinDir, routerProgram)
	cmd := exec.CommandContext(ctx, program, "certs", "--out", d.opts.Dir, "--instances", strings.Join(ids, ","))
	if out, err := cmd.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "deployment: make keys: %s", out)
	}
	return errors.Wrap(os.WriteFile(d.file(secretFile), []byte(rand.Text()), privateMode), "deployment: write the secret")
}
