package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// Load reads an instance's certificate and key and the authority's certificate. The
// result serves both directions: as a server it demands a certificate of the same
// authority, as a client it accepts one only. The caller sets NextProtos.
func Load(caFile, certFile, keyFile string) (*tls.Config, error) {
	ca, err := readCertificate(caFile)
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "keys: load %s and %s", certFile, keyFile)
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	if err := verifyOwn(pair, pool); err != nil {
		return nil, errors.Wrapf(err, "keys: %s against %s", certFile, caFile)
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{pair},
		RootCAs:          pool,
		ServerName:       ServerName,
		ClientCAs:        pool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		VerifyConnection: verifyNamed,
	}, nil
}

// LoadForInstance is Load for a process that knows which instance it is: it fails when the
// certificate names another one.
func LoadForInstance(id, caFile, certFile, keyFile string) (*tls.Config, error) {
	cfg, err := Load(caFile, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	own, err := OwnID(cfg)
	if err != nil {
		return nil, err
	}
	if own != id {
		return nil, errors.Errorf("keys: the certificate %s is for instance %q, the settings are for %q", certFile, own, id)
	}
	return cfg, nil
}

// OwnID returns the instance that the certificate of a configuration from Load names.
func OwnID(cfg *tls.Config) (string, error) {
	if len(cfg.Certificates) == 0 || cfg.Certificates[0].Leaf == nil {
		return "", ErrNoID
	}
	return certificateID(cfg.Certificates[0].Leaf)
}

// ExpectPeer returns a copy of a configuration from Load that accepts only the named instance.
func ExpectPeer(cfg *tls.Config, id string) *tls.Config {
	out := cfg.Clone()
	out.VerifyConnection = func(cs tls.ConnectionState) error {
		got, err := PeerID(cs)
		if err != nil {
			return err
		}
		if got != id {
			return errors.Errorf("keys: the peer is %s, want %s", got, id)
		}
		return nil
	}
	return out
}

func verifyNamed(cs tls.ConnectionState) error {
	_, err := PeerID(cs)
	return err
}

// verifyOwn fails at start on a certificate that every peer would refuse.
func verifyOwn(pair tls.Certificate, pool *x509.CertPool) error {
	_, err := pair.Leaf.Verify(x509.VerifyOptions{
		Roots:     pool,
		DNSName:   ServerName,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return err
	}
	_, err = certificateID(pair.Leaf)
	return err
}
