package mesh

import "crypto/hmac"

// Authenticator returns the authenticator of the data under the shared secret; false before the secret is known. Data that could be a
// datagram must not be passed.
func (mesh *Mesh) Authenticator(data []byte) ([]byte, bool) {
	secret := mesh.secret.Load()
	if secret == nil {
		return nil, false
	}
	return authenticator(*secret, data), true
}

// IsAuthentic reports whether the authenticator is that of the data under the shared secret or the one before it.
func (mesh *Mesh) IsAuthentic(data, mac []byte) bool {
	for _, secret := range []*[]byte{mesh.secret.Load(), mesh.previous.Load()} {
		if secret != nil && hmac.Equal(authenticator(*secret, data), mac) {
			return true
		}
	}
	return false
}
