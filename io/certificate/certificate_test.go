package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"redwingsill/io/certificate"
)

func TestCertificate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Certificate")
}

// writeCertificate writes a self-signed certificate with the given common name, and its key, to files in a folder.
func writeCertificate(folder, name string) (certificatePath, keyPath string, pair tls.Certificate) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	Expect(err).NotTo(HaveOccurred())
	text, err := x509.MarshalECPrivateKey(private)
	Expect(err).NotTo(HaveOccurred())
	certificatePath, keyPath = filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem")
	certificatePEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: text})
	Expect(os.WriteFile(certificatePath, certificatePEM, 0o600)).To(Succeed())
	Expect(os.WriteFile(keyPath, keyPEM, 0o600)).To(Succeed())
	pair, err = tls.X509KeyPair(certificatePEM, keyPEM)
	Expect(err).NotTo(HaveOccurred())
	return certificatePath, keyPath, pair
}

// dial connects to a server and returns the common name of the server's certificate. With TLS 1.3 the server's
// rejection of a client certificate is seen only by the first read, so dial reads a byte.
func dial(address string, client ...tls.Certificate) (string, error) {
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true, Certificates: client}) // the test checks the name itself
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// serve accepts TLS connections with c, writes one byte to each, and returns the address.
func serve(c *certificate.Certificate) string {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	listener, err := c.Listen(tcp)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("x"))
			_ = conn.Close()
		}
	}()
	return tcp.Addr().String()
}

var _ = Describe("certificates", func() {
	It("are reloaded when the files change, and kept while the files are invalid", func() {
		folder := GinkgoT().TempDir()
		certificatePath, keyPath, _ := writeCertificate(folder, "old")
		address := serve(certificate.New(certificatePath, keyPath, ""))
		Expect(dial(address)).To(Equal("old"))
		writeCertificate(folder, "new")
		Eventually(func() (string, error) { return dial(address) }, 5*time.Second, 100*time.Millisecond).Should(Equal("new"))
		Expect(os.WriteFile(certificatePath, []byte("broken"), 0o600)).To(Succeed())
		time.Sleep(1100 * time.Millisecond) // longer than reloadInterval, so that the invalid file is read
		Expect(dial(address)).To(Equal("new"))
	})

	It("require a client certificate from the configured CA", func() {
		certificatePath, keyPath, _ := writeCertificate(GinkgoT().TempDir(), "server")
		clientCAPath, _, client := writeCertificate(GinkgoT().TempDir(), "operator")
		_, _, untrusted := writeCertificate(GinkgoT().TempDir(), "stranger")
		address := serve(certificate.New(certificatePath, keyPath, clientCAPath))
		Expect(dial(address, client)).To(Equal("server"))
		_, err := dial(address, untrusted)
		Expect(err).To(HaveOccurred())
		_, err = dial(address)
		Expect(err).To(HaveOccurred())
	})

	It("cause an error from Listen if the files can't be read", func() {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(tcp.Close)
		_, err = certificate.New("none", "none", "").Listen(tcp)
		Expect(err).To(HaveOccurred())
	})
})
