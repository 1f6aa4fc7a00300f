package keys

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

const (
	idURIScheme = "dandelionvane"
	idURIHost   = "instance"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ErrNoInstanceID reports a certificate without an instance id.
var ErrNoInstanceID = errors.New("keys: the certificate contains no instance id")

// CheckInstanceID returns an error if id is not a valid instance id for a certificate.
func CheckInstanceID(id string) error {
	if !idPattern.MatchString(id) {
		return errors.Errorf("keys: %q is not an instance id: use 1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit", id)
	}
	return nil
}

// PeerInstanceID returns the instance id in the peer's verified certificate. It fails if the certificate was not verified or
// contains no instance id.
func PeerInstanceID(cs tls.ConnectionState) (string, error) {
	if len(cs.VerifiedChains) == 0 {
		return "", errors.New("keys: the peer's certificate was not verified")
	}
	return certificateID(cs.VerifiedChains[0][0])
}

func certificateID(cert *x509.Certificate) (string, error) {
	if len(cert.URIs) != 1 {
		return "", ErrNoInstanceID
	}
	u := cert.URIs[0]
	id, ok := strings.CutPrefix(u.Path, "/")
	if !ok || u.Scheme != idURIScheme || u.Host != idURIHost || !idPattern.MatchString(id) {
		return "", ErrNoInstanceID
	}
	return id, nil
}

func idURI(id string) *url.URL {
	return &url.URL{Scheme: idURIScheme, Host: idURIHost, Path: "/" + id}
}
