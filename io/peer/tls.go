package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// LoadTLS reads the PEM files named in the settings and returns the configuration for NewServer and NewDialer.
func LoadTLS(certificateFile, keyFile, caFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("load peer certificate: %w", err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("load peer CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load peer CA: %s holds no certificate", caFile)
	}
	return TLS(certificate, pool), nil
}

// TLS returns a configuration for servers and clients. Each side must present a certificate issued by the CA. The host
// name is not checked, since a VM may be replaced by one with another address. The CA must only issue certificates for
// the fleet.
func TLS(certificate tls.Certificate, ca *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{certificate},
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          ca,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain, but not the host name.
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 {
				return errors.New("peer sent no certificate")
			}
			intermediates := x509.NewCertPool()
			for _, certificate := range state.PeerCertificates[1:] {
				intermediates.AddCert(certificate)
			}
			_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: ca, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
			})
			if err != nil {
				return fmt.Errorf("verify peer certificate: %w", err)
			}
			return nil
		},
	}
}
