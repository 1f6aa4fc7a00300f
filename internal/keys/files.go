package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"os"

	"github.com/pkg/errors"
)

const (
	certificatePEMType  = "CERTIFICATE"
	privateKeyPEMType   = "PRIVATE KEY"
	certificateFileMode = 0o644
	keyFileMode         = 0o600
)

func writeCertificate(path string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: certificatePEMType, Bytes: der})
	return errors.Wrap(os.WriteFile(path, b, certificateFileMode), "keys")
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "keys: encode key")
	}
	b := pem.EncodeToMemory(&pem.Block{Type: privateKeyPEMType, Bytes: der})
	return errors.Wrap(os.WriteFile(path, b, keyFileMode), "keys")
}

func readCertificate(path string) (*x509.Certificate, error) {
	der, err := readPEMBlock(path, certificatePEMType)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, errors.Wrapf(err, "keys: parse %s", path)
}

func readKey(path string) (*ecdsa.PrivateKey, error) {
	der, err := readPEMBlock(path, privateKeyPEMType)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, errors.Wrapf(err, "keys: parse %s", path)
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Errorf("keys: %s contains no ECDSA key", path)
	}
	return ec, nil
}

func readPEMBlock(path, blockType string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	block, _ := pem.Decode(b)
	if block == nil || block.Type != blockType {
		return nil, errors.Errorf("keys: %s contains no PEM block %q", path, blockType)
	}
	return block.Bytes, nil
}
