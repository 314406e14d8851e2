package router_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburntray/auburntray/internal/certifier"
	"github.com/auburntray/auburntray/internal/counter"
	"github.com/auburntray/auburntray/internal/resolver"
	"github.com/auburntray/auburntray/internal/standin/service"
	"github.com/auburntray/auburntray/internal/standin/waiter"
)

// certificate writes a self-signed certificate for the loopback address and its key, and
// returns the names of the files.
func certificate(t *testing.T) (cert, key string) {
	t.Helper()

	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}

	x := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, DNSNames: []string{certifier.PeerName}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}

	b, err := x509.CreateCertificate(rand.Reader, x, x, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}

	p, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}

	d := t.TempDir()
	cert, key = filepath.Join(d, "cert.pem"), filepath.Join(d, "key.pem")
	write(t, cert, "CERTIFICATE", b)
	write(t, key, "PRIVATE KEY", p)

	return cert, key
}

// write writes a PEM file.
func write(t *testing.T, name, kind string, b []byte) {
	t.Helper()

	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// With certificates in the settings, callers and targets are connected over TLS only, and a
// target with a certificate of another authority gets no call.
func TestTLS(t *testing.T) {
	i := is.New(t)
	cert, key := certificate(t)
	pair, err := tls.LoadX509KeyPair(cert, key)
	i.NoErr(err)

	s := service.New(service.Settings{})
	h := httptest.NewUnstartedServer(s.Handler())
	h.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	h.StartTLS()

	defer h.Close()

	untrusted := httptest.NewTLSServer(s.Handler())
	defer untrusted.Close()

	f := newFleet(t, 0, 0)
	f.addTarget("s0", "service", netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "https://")))
	f.publish(1)

	n := f.startWith("dc-1", func(r *resolver.Router) {
		r.CallerCert, r.CallerKey, r.TargetTLS, r.TargetCA = cert, key, true, cert
	})
	waiter.Until(t, "the revision", func() bool { return n.metric(counter.Revision) == 2 })

	roots := x509.NewCertPool()
	b, err := os.ReadFile(cert)
	i.NoErr(err)
	i.True(roots.AppendCertsFromPEM(b))

	c := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, DisableKeepAlives: true}}
	book := func(key string) string {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, strings.Replace(n.url, "http://", "https://", 1)+"/book", nil)
		i.NoErr(err)
		q.Header.Set("Auburntray-Customer", "c")
		q.Header.Set("Idempotency-Key", key)

		r, err := c.Do(q)
		i.NoErr(err)

		defer func() { _ = r.Body.Close() }()

		_, err = io.Copy(io.Discard, r.Body)
		i.NoErr(err)

		return r.Header.Get("Auburntray-Outcome")
	}

	i.Equal(book("one"), "ran")
	i.Equal(n.do(t.Context(), http.MethodGet, "/readyz", "", "").status, http.StatusBadRequest) // plain HTTP

	f.addTarget("s0", "service", netip.MustParseAddrPort(strings.TrimPrefix(untrusted.URL, "https://")))
	f.publish(2)
	waiter.Until(t, "the revision", func() bool { return n.metric(counter.Revision) == 3 })
	i.Equal(book("two"), "notRun") // no connection was made
	i.Equal(s.Counts()["two"], 0)
}

// Guards against processes outside the fleet that act as peers, such as by handing over
// placements, releasing grants or claiming to be a home. With peer certificates, a process
// without a certificate of the fleet is not accepted as a peer, and the fleet's own routers
// continue to work.
func TestOnlyRoutersOfTheFleetArePeers(t *testing.T) {
	i := is.New(t)
	f := newFleet(t, 1, 0)

	start := func(cert, key string) *instance {
		return f.startWith("dc-1", func(r *resolver.Router) { r.PeerCert, r.PeerKey, r.PeerCA = cert, key, cert })
	}

	cert, key := certificate(t)
	a, b := start(cert, key), start(cert, key)
	f.awaitMembership()

	otherCert, otherKey := certificate(t)
	start(otherCert, otherKey)
	f.start("dc-1") // without a certificate

	i.Equal(a.chat(t.Context(), "q", 1, false).outcome(), "ran")
	i.Equal(b.chat(t.Context(), "q", 1, false).outcome(), "ran")
	time.Sleep(2500 * time.Millisecond) // two rounds of gossip

	for _, n := range f.instances {
		want := int64(1)
		if n == a || n == b {
			want = 2
		}

		i.Equal(n.metric(counter.LiveRouters), want)
	}
}
