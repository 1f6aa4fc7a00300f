package keys

import (
	"crypto/tls"

	"github.com/pkg/errors"
)

// Ephemeral returns a configuration for peers in a network that is itself trusted: the
// instance presents a certificate that only this process knows, and takes any peer at
// its word. It encrypts, and it does not authenticate.
func Ephemeral(id string) (*tls.Config, error) {
	ca, err := NewCA()
	if err != nil {
		return nil, err
	}
	pair, err := ca.Issue(id)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{pair.der}, PrivateKey: pair.key}},
		ServerName:         ServerName,
		InsecureSkipVerify: true,
		ClientAuth:         tls.RequireAnyClientCert,
	}, nil
}

// ClaimedID returns the instance that the peer of a connection says it is.
func ClaimedID(cs tls.ConnectionState) (string, error) {
	if len(cs.PeerCertificates) == 0 {
		return "", errors.New("keys: the peer presented no certificate")
	}
	return certificateID(cs.PeerCertificates[0])
}
