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

const resumeTokenSecretFile = "secret" // holds the HMAC key, shared by all routers, that authenticates resume tokens

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

func (d *Deployment) filePath(name string) string { return filepath.Join(d.opts.Dir, name) }

// settings returns the contents of a router's settings file.
func (d *Deployment) settings(r *Router) string {
	id := string(r.ID)
	return fmt.Sprintf(settingsFormat, id, r.DataCentre, r.CallerAddr, r.PeerAddr, r.OperatorAddr, d.platformAddr, tomlArray(d.seeds(r)),
		d.filePath("ca.pem"), d.filePath(id+".pem"), d.filePath(id+"-key.pem"), d.filePath(resumeTokenSecretFile))
}

// seeds returns the seed peers of a router, which are all other routers. A router that starts while the platform is
// unavailable reads the configuration from them.
func (d *Deployment) seeds(r *Router) []string {
	var out []string
	for _, other := range d.routers {
		if other != r {
			out = append(out, string(other.ID)+"="+other.PeerAddr)
		}
	}
	return out
}

// issueCertificates generates a certificate authority, a certificate for each router and their shared resume token
// secret.
func (d *Deployment) issueCertificates(ctx context.Context) error {
	var ids []string
	for _, r := range d.routers {
		ids = append(ids, string(r.ID))
	}
	program := filepath.Join(d.opts.BinDir, routerProgram)
	cmd := exec.CommandContext(ctx, program, "certs", "--out", d.opts.Dir, "--instances", strings.Join(ids, ","))
	if out, err := cmd.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "deployment: issue certificates: %s", out)
	}
	return errors.Wrap(os.WriteFile(d.filePath(resumeTokenSecretFile), []byte(rand.Text()), privateFileMode), "deployment: write the secret")
}
