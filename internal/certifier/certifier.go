// Package certifier reads certificates for TLS.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// ErrFile means that a file holds no certificate or key that can be used.
var ErrFile = errors.New("the certificate can't be used")

// PeerName is the name that the certificates of routers are issued to.
const PeerName = "auburntray"

// Pool returns the authorities in a PEM file. It fails with ErrFile.
func Pool(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, errors.Mark(err, ErrFile)
	}

	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, errors.Mark(errors.Newf("%s holds no certificate", file), ErrFile)
	}

	return p, nil
}

// Peers returns the TLS settings between routers: both sides show a certificate
// of the same authorities, issued to PeerName. It fails with ErrFile.
func Peers(cert, key, authorities string) (*tls.Config, error) {
	c, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Mark(err, ErrFile)
	}

	p, err := Pool(authorities)
	if err != nil {
		return nil, err
	}

	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c},
		RootCAs: p, ClientCAs: p, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: PeerName,
	}, nil
}
