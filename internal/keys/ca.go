package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// ServerName is the DNS name in every instance certificate.
const ServerName = "router.dandelionvane.internal"

// File names of a certificate authority.
const (
	CACertFile = "ca.pem"
	CAKeyFile  = "ca-key.pem"
)

const (
	caLifetime         = 10 * 365 * 24 * time.Hour
	instanceLifetime   = 365 * 24 * time.Hour
	clockSkewTolerance = time.Hour // certificates become valid this long before their issue
	serialNumberBits   = 127
)

// CA is a certificate authority.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA generates a certificate authority.
func NewCA() (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "keys: generate CA key")
	}
	tmpl, err := certificateTemplate("dandelionvane CA", caLifetime)
	if err != nil {
		return nil, err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "keys: sign CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "keys: parse CA certificate")
	}
	return &CA{cert: cert, key: key}, nil
}

// LoadCA reads a certificate authority from the files that WriteFiles writes. If a file is missing, the cause of the
// error (errors.Cause) satisfies os.IsNotExist.
func LoadCA(dir string) (*CA, error) {
	cert, err := readCertificate(filepath.Join(dir, CACertFile))
	if err != nil {
		return nil, err
	}
	key, err := readKey(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, err
	}
	if !key.PublicKey.Equal(cert.PublicKey) {
		return nil, errors.Errorf("keys: %s is not the key of %s", CAKeyFile, CACertFile)
	}
	if !cert.IsCA {
		return nil, errors.Errorf("keys: %s is not a CA certificate", CACertFile)
	}
	return &CA{cert: cert, key: key}, nil
}

// WriteFiles writes the authority's certificate and key to dir.
func (c *CA) WriteFiles(dir string) error {
	if err := writeKey(filepath.Join(dir, CAKeyFile), c.key); err != nil {
		return err
	}
	return writeCertificate(filepath.Join(dir, CACertFile), c.cert.Raw)
}

// Issue returns a new certificate and key for an instance.
func (c *CA) Issue(id string) (*KeyPair, error) {
	if err := CheckInstanceID(id); err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "keys: generate instance key")
	}
	tmpl, err := certificateTemplate(id, instanceLifetime)
	if err != nil {
		return nil, err
	}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	tmpl.DNSNames = []string{ServerName}
	tmpl.URIs = []*url.URL{idURI(id)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, c.cert, &key.PublicKey, c.key)
	if err != nil {
		return nil, errors.Wrap(err, "keys: sign instance certificate")
	}
	return &KeyPair{id: id, der: der, key: key}, nil
}

// KeyPair is the certificate and private key of one instance.
type KeyPair struct {
	id  string
	der []byte
	key *ecdsa.PrivateKey
}

// WriteFiles writes the pair to dir as ID.pem and ID-key.pem.
func (p *KeyPair) WriteFiles(dir string) error {
	if err := writeKey(filepath.Join(dir, p.id+"-key.pem"), p.key); err != nil {
		return err
	}
	return writeCertificate(filepath.Join(dir, p.id+".pem"), p.der)
}

func certificateTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, errors.Wrap(err, "keys: generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// EnsureCA loads the certificate authority in dir, or generates and writes one if dir contains neither of its
// files.
func EnsureCA(dir string) (*CA, error) {
	ca, err := LoadCA(dir)
	if err == nil || !os.IsNotExist(errors.Cause(err)) {
		return ca, err
	}
	if err := checkNoPartialCA(dir); err != nil {
		return nil, err
	}
	ca, err = NewCA()
	if err != nil {
		return nil, err
	}
	return ca, ca.WriteFiles(dir)
}

// checkNoPartialCA returns an error if dir contains one of the two files of a certificate authority: replacing the
// authority would invalidate the certificates that it has signed.
func checkNoPartialCA(dir string) error {
	for _, name := range []string{CACertFile, CAKeyFile} {
		if _, err := os.Stat(filepath.Join(dir, name)); err == nil {
			return errors.Errorf("keys: %s contains %s but not both files of a CA; restore the other or remove it", dir, name)
		}
	}
	return nil
}
