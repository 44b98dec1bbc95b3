package gateway

import (
	"crypto/tls"
	"fmt"

	"dotterelgw/io/peer"
)

// peerTLS returns the TLS configuration for peers, or nil if the settings contain no certificate.
func (gateway *Gateway) peerTLS() (*tls.Config, error) {
	files := gateway.settings.TLS
	if files.Certificate == "" {
		return nil, nil
	}
	return peer.LoadTLS(files.Certificate, files.Key, files.CA)
}

// callerTLS returns the TLS configuration for callers, or nil if the settings contain no certificate.
func (gateway *Gateway) callerTLS() (*tls.Config, error) {
	files := gateway.settings.TLS
	if files.CallerCertificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CallerCertificate, files.CallerKey)
	if err != nil {
		return nil, fmt.Errorf("reading %s and %s: %w", files.CallerCertificate, files.CallerKey, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}
