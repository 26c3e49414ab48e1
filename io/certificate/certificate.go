// Package certificate serves TLS with a certificate that is reloaded from its files while the process runs.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"redwingsill/core/kind"
)

// reloadInterval is how long a loaded certificate is used before the next handshake reads its files again. After a
// failed read, each handshake tries again.
const reloadInterval = time.Second

// Certificate wraps listeners in TLS. It reads PEM files: a server certificate, its private key and, optionally, the
// CA certificates that client certificates are verified against. It is safe for concurrent use.
type Certificate struct {
	certificateFile string
	keyFile         string
	clientCAFile    string
	cached          atomic.Pointer[loadedPair]
}

// New returns a Certificate that uses the PEM files at the given paths. It reads none of them. If clientCA is empty,
// clients need no certificate.
func New(certificate, key, clientCA string) *Certificate {
	return &Certificate{certificateFile: certificate, keyFile: key, clientCAFile: clientCA}
}

// Listen wraps a listener in TLS. Unlike the certificate and its key, the client CA is not reloaded. The error is
// an [*Error] of kind Invalid if a file can't be read or parsed.
func (c *Certificate) Listen(l net.Listener) (net.Listener, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	if _, err := c.load(); err != nil {
		return nil, err
	}
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		pair, err := c.load()
		if err != nil {
			return nil, err
		}
		return &pair.certificate, nil
	}
	if c.clientCAFile != "" {
		pem, err := os.ReadFile(c.clientCAFile)
		if err != nil {
			return nil, newError("read client CA", kind.Invalid, err)
		}
		config.ClientCAs = x509.NewCertPool()
		if !config.ClientCAs.AppendCertsFromPEM(pem) {
			return nil, newError("read client CA", kind.Invalid, errors.New(c.clientCAFile+" contains no PEM certificate"))
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return tls.NewListener(l, config), nil
}

// load returns the cached certificate if it is younger than reloadInterval, and otherwise reads the files. If the files
// can't be read or parsed, load returns the cached certificate, or an error if there is none.
func (c *Certificate) load() (*loadedPair, error) {
	now := time.Now()
	last := c.cached.Load()
	if last != nil && now.Sub(last.loadedAt) < reloadInterval {
		return last, nil
	}
	certificate, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		if last != nil {
			return last, nil
		}
		return nil, newError("read certificate", kind.Invalid, err)
	}
	next := &loadedPair{certificate: certificate, loadedAt: now}
	c.cached.Store(next)
	return next, nil
}
