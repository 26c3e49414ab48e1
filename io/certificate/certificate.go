// Package certificate serves TLS with a certificate that is read again when its file changes.
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

const reloadInterval = time.Second

// Certificate is a certificate, its key and the authorities of clients, each in a file.
type Certificate struct {
	certificate string
	key         string
	clientCA    string
	current     atomic.Pointer[loaded]
}

// New returns the keys in the files. Without a clientCA clients need no certificate.
func New(certificate, key, clientCA string) *Certificate {
	return &Certificate{certificate: certificate, key: key, clientCA: clientCA}
}

// Listen returns a listener that speaks TLS. Errors are an [*Error] of kind Invalid where a file can't be used.
func (k *Certificate) Listen(l net.Listener) (net.Listener, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	if _, err := k.load(); err != nil {
		return nil, err
	}
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		now, err := k.load()
		if err != nil {
			return nil, err
		}
		return &now.certificate, nil
	}
	if k.clientCA != "" {
		text, err := os.ReadFile(k.clientCA)
		if err != nil {
			return nil, newError("read client CA", kind.Invalid, err)
		}
		config.ClientCAs = x509.NewCertPool()
		if !config.ClientCAs.AppendCertsFromPEM(text) {
			return nil, newError("read client CA", kind.Invalid, errors.New(k.clientCA+" has no certificate in PEM form"))
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return tls.NewListener(l, config), nil
}

// load returns the certificate, read again where the file is newer. A file that can't be used keeps the last one.
func (k *Certificate) load() (*loaded, error) {
	now := time.Now()
	last := k.current.Load()
	if last != nil && now.Sub(last.checkedAt) < reloadInterval {
		return last, nil
	}
	certificate, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		if last != nil {
			return last, nil
		}
		return nil, newError("read certificate", kind.Invalid, err)
	}
	next := &loaded{certificate: certificate, checkedAt: now}
	k.current.Store(next)
	return next, nil
}
