package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func newCA(t *testing.T) *CA {
	t.Helper()
	ca, err := NewCA()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// issueAndLoad issues a certificate for id, writes it to files and loads them.
func issueAndLoad(t *testing.T, ca *CA, id string) *tls.Config {
	t.Helper()
	dir := t.TempDir()
	p, err := ca.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	if err := ca.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	if err := p.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadTLSConfig(filepath.Join(dir, "ca.pem"), filepath.Join(dir, id+".pem"), filepath.Join(dir, id+"-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// handshake returns the connection state and error of each side of a TLS connection. The server sends one byte after
// the handshake because in TLS 1.3 the client learns only on its first read that the server rejected its certificate.
func handshake(t *testing.T, client, server *tls.Config) (cs, ss tls.ConnectionState, clientErr, serverErr error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		s := tls.Server(conn, server)
		_, err = s.Write([]byte{1})
		ss = s.ConnectionState()
		done <- err
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := tls.Client(conn, client)
	_, clientErr = c.Read(make([]byte, 1))
	conn.Close()
	serverErr = <-done
	return c.ConnectionState(), ss, clientErr, serverErr
}

func TestBothSidesLearnEachOther(t *testing.T) {
	ca := newCA(t)
	a, b := issueAndLoad(t, ca, "a-1"), issueAndLoad(t, ca, "b-2")
	cs, ss, cerr, serr := handshake(t, ExpectPeer(a, "b-2"), b)
	if cerr != nil || serr != nil {
		t.Fatalf("handshake: client %v, server %v", cerr, serr)
	}
	if id, err := PeerInstanceID(cs); id != "b-2" || err != nil {
		t.Errorf("client sees %q, %v", id, err)
	}
	if id, err := PeerInstanceID(ss); id != "a-1" || err != nil {
		t.Errorf("server sees %q, %v", id, err)
	}
	if id, err := OwnInstanceID(a); id != "a-1" || err != nil {
		t.Errorf("own id %q, %v", id, err)
	}
}

func TestForeignPeersAreRefused(t *testing.T) {
	ca, other := newCA(t), newCA(t)
	a, b, foreign := issueAndLoad(t, ca, "a"), issueAndLoad(t, ca, "b"), issueAndLoad(t, other, "b")
	bare := a.Clone()
	bare.Certificates = nil
	tests := []struct {
		name           string
		client, server *tls.Config
	}{
		{"server of another authority", a, foreign},
		{"client of another authority", foreign, a},
		{"client without certificate", bare, b},
		{"wrong instance", ExpectPeer(a, "c"), b},
		{"certificate without instance as client", withoutInstanceID(t, ca, a), b},
		{"certificate without instance as server", a, withoutInstanceID(t, ca, b)},
	}
	for _, tt := range tests {
		if _, _, cerr, serr := handshake(t, tt.client, tt.server); cerr == nil && serr == nil {
			t.Errorf("%s: accepted", tt.name)
		}
	}
}

// withoutInstanceID returns a copy of cfg with a certificate that the same authority signed and that has no instance id.
func withoutInstanceID(t *testing.T, ca *CA, cfg *tls.Config) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl, err := certificateTemplate("x", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	tmpl.DNSNames = []string{ServerName}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	out := cfg.Clone()
	out.Certificates = []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	return out
}

func TestPeerIDNeedsVerification(t *testing.T) {
	if id, err := PeerInstanceID(tls.ConnectionState{}); err == nil {
		t.Errorf("unverified peer is %q", id)
	}
}

func TestLoadRefusesCertificateOfAnotherCA(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	ca, err := EnsureCA(dir)
	if err != nil {
		t.Fatal(err)
	}
	p, err := ca.Issue("a")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := EnsureCA(other); err != nil {
		t.Fatal(err)
	}
	_, err = LoadTLSConfig(filepath.Join(other, CACertFile), filepath.Join(dir, "a.pem"), filepath.Join(dir, "a-key.pem"))
	if err == nil || !strings.Contains(err.Error(), "a.pem") {
		t.Errorf("Load: %v, want an error that names the certificate", err)
	}
}

func TestEnsureCAKeepsExisting(t *testing.T) {
	dir := t.TempDir()
	first, err := EnsureCA(dir)
	if err != nil {
		t.Fatal(err)
	}
	second, err := EnsureCA(dir)
	if err != nil || !second.cert.Equal(first.cert) {
		t.Fatalf("EnsureCA replaced the certificate authority (%v)", err)
	}
	if fi, err := os.Stat(filepath.Join(dir, CAKeyFile)); err != nil || fi.Mode().Perm() != keyFileMode {
		t.Errorf("key file mode %v, %v", fi.Mode(), err)
	}
	if err := os.Remove(filepath.Join(dir, CAKeyFile)); err != nil {
		t.Fatal(err)
	}
	if _, err := EnsureCA(dir); err == nil {
		t.Error("EnsureCA replaced a certificate authority whose key file is missing")
	}
}

func TestIssueRefusesBadIDs(t *testing.T) {
	ca := newCA(t)
	for _, id := range []string{"", "../x", "a/b", "a b", "-a", strings.Repeat("a", 64)} {
		if _, err := ca.Issue(id); err == nil {
			t.Errorf("issued a certificate to %q", id)
		}
	}
}
