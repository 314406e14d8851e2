// Package certifier loads certificates and builds the TLS configuration between routers.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// ErrFile marks a file that can't be read or has no valid certificate or key.
var ErrFile = errors.New("invalid certificate or key file")

// PeerName is the DNS name in the certificates of routers.
const PeerName = "auburntray"

// Pool returns the certificate authorities in a PEM file. It fails with ErrFile.
func Pool(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file) //nolint:gosec // The path is set by the operator.
	if err != nil {
		return nil, errors.Mark(err, ErrFile)
	}

	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, errors.Mark(errors.Newf("%s contains no certificate", file), ErrFile)
	}

	return p, nil
}

// PeerConfig returns the configuration for mutual TLS between routers: both sides present a certificate that one
// of the authorities issued, and clients verify that the server's is issued to PeerName. The parameters are
// paths of PEM files. It fails with ErrFile.
func PeerConfig(cert, key, authorities string) (*tls.Config, error) {
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
