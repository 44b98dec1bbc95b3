package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// certificateLifetime exceeds the duration of any test run, and is short so that leftover certificates are useless.
const certificateLifetime = 24 * time.Hour

// authority is the certificate authority of one fleet.
type authority struct {
	directory   string
	address     net.IP
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// newAuthority creates an authority and writes its certificate and key to ca.pem and ca.key.
func newAuthority(directory string, address netip.Addr) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generating the authority's key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "dotterelgw stand-in authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	authority := &authority{directory: directory, address: address.AsSlice(), certificate: template, key: key, serial: 1}
	if err := authority.write("ca", template, key); err != nil {
		return nil, fmt.Errorf("writing the authority: %w", err)
	}
	return authority, nil
}

// issue writes NAME.pem and NAME.key for a process of the fleet.
func (authority *authority) issue(name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generating the key of %s: %w", name, err)
	}
	authority.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), authority.address}, DNSNames: []string{name, "localhost"},
	}
	if err := authority.write(name, template, key); err != nil {
		return fmt.Errorf("issuing the certificate of %s: %w", name, err)
	}
	return nil
}

func (authority *authority) write(name string, template *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		return fmt.Errorf("signing: %w", err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("encoding the key: %w", err)
	}
	if err := authority.writePEM(name+".pem", "CERTIFICATE", der); err != nil {
		return err
	}
	return authority.writePEM(name+".key", "EC PRIVATE KEY", encoded)
}

func (authority *authority) writePEM(file, kind string, der []byte) error {
	path := filepath.Join(authority.directory, file)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		return fmt.Errorf("writing %s: %w", file, err)
	}
	return nil
}
