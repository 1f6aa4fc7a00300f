package keys

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// LoadTLSConfig reads an instance's certificate and key and the certificate of the certificate authority, and returns a
// configuration for both TLS clients and TLS servers. Either role requires a peer certificate that the same authority
// has signed and that contains an instance id. The caller sets NextProtos.
func LoadTLSConfig(caFile, certFile, keyFile string) (*tls.Config, error) {
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
	if err := verifyOwnCertificate(pair, pool); err != nil {
		return nil, errors.Wrapf(err, "keys: verify %s against %s", certFile, caFile)
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{pair},
		RootCAs:          pool,
		ServerName:       ServerName,
		ClientCAs:        pool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		VerifyConnection: requirePeerID,
	}, nil
}

// LoadTLSConfigForInstance is like Load, but fails if the certificate is not that of instance id.
func LoadTLSConfigForInstance(id, caFile, certFile, keyFile string) (*tls.Config, error) {
	cfg, err := LoadTLSConfig(caFile, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	own, err := OwnInstanceID(cfg)
	if err != nil {
		return nil, err
	}
	if own != id {
		return nil, errors.Errorf("keys: the certificate %s is for instance %q, the settings are for %q", certFile, own, id)
	}
	return cfg, nil
}

// OwnInstanceID returns the instance id in the certificate of a configuration returned by Load.
func OwnInstanceID(cfg *tls.Config) (string, error) {
	if len(cfg.Certificates) == 0 || cfg.Certificates[0].Leaf == nil {
		return "", ErrNoInstanceID
	}
	return certificateID(cfg.Certificates[0].Leaf)
}

// ExpectPeer returns a copy of a configuration returned by Load that accepts only instance id as the peer.
func ExpectPeer(cfg *tls.Config, id string) *tls.Config {
	out := cfg.Clone()
	out.VerifyConnection = func(cs tls.ConnectionState) error {
		got, err := PeerInstanceID(cs)
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

func requirePeerID(cs tls.ConnectionState) error {
	_, err := PeerInstanceID(cs)
	return err
}

// verifyOwnCertificate applies the checks of a peer to the instance's own certificate, so that loading an unusable one
// fails instead of each later handshake.
func verifyOwnCertificate(pair tls.Certificate, pool *x509.CertPool) error {
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
