package home

import (
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"dotterelgw/core/ids"
)

const (
	// handshakeTimeout bounds the time to open a stream once its connection is open.
	handshakeTimeout = 400 * time.Millisecond
	// nonceBytes is the length of a nonce.
	nonceBytes = 16
	// Purposes of authenticators. None of them can start a datagram, which is encoded as a map.
	homePurpose   = "dotterelgw home of a server"
	callerPurpose = "dotterelgw caller of a home"
)

// errNotAuthentic reports that the other end doesn't know the shared secret.
var errNotAuthentic = errors.New("the other end does not know the secret")

// errNoSecret reports that this VM doesn't know the shared secret yet.
var errNoSecret = errors.New("the secret is not known yet")

// Secret authenticates the two ends of a stream to each other.
type Secret interface {
	// Authenticator returns the authenticator of the data; false before the secret is known.
	Authenticator(data []byte) ([]byte, bool)
	// IsAuthentic reports whether the authenticator is that of the data.
	IsAuthentic(data, authenticator []byte) bool
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails, see crypto/rand
	return nonce
}

// transcript returns the data that one end authenticates. Both nonces have a fixed length.
func transcript(purpose string, callerNonce, homeNonce []byte, caller ids.VMID) []byte {
	data := append([]byte(purpose), callerNonce...)
	return append(append(data, homeNonce...), caller...)
}

// open authenticates the stream as its caller, and reports whether the home is about to stop.
func (stream *stream) open(self ids.VMID, secret Secret) (leaving bool, err error) {
	if err := stream.conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return false, fmt.Errorf("setting the deadline of a handshake: %w", err)
	}
	nonce := newNonce()
	if err := stream.send(kindHello, 0, hello{VM: self, Nonce: nonce}); err != nil {
		return false, err
	}
	answer, err := receiveBody[challenge](stream, kindChallenge)
	if err != nil {
		return false, err
	}
	if len(answer.Nonce) != nonceBytes || !secret.IsAuthentic(transcript(homePurpose, nonce, answer.Nonce, self), answer.Authenticator) {
		return false, errNotAuthentic
	}
	authenticator, ok := secret.Authenticator(transcript(callerPurpose, nonce, answer.Nonce, self))
	if !ok {
		return false, errNoSecret
	}
	if err := stream.send(kindProof, 0, proof{Authenticator: authenticator}); err != nil {
		return false, err
	}
	stream.maxReceived = maxFrame
	if err := stream.conn.SetReadDeadline(time.Time{}); err != nil {
		return false, fmt.Errorf("clearing the deadline of a handshake: %w", err)
	}
	return answer.Leaving, nil
}

// accept authenticates the stream as the home.
func (stream *stream) accept(secret Secret, leaving bool) error {
	if err := stream.conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("setting the deadline of a handshake: %w", err)
	}
	greeting, err := receiveBody[hello](stream, kindHello)
	if err != nil {
		return err
	}
	nonce := newNonce()
	authenticator, ok := secret.Authenticator(transcript(homePurpose, greeting.Nonce, nonce, greeting.VM))
	if !ok || len(greeting.Nonce) != nonceBytes {
		return errNoSecret
	}
	if err := stream.send(kindChallenge, 0, challenge{Nonce: nonce, Authenticator: authenticator, Leaving: leaving}); err != nil {
		return err
	}
	answer, err := receiveBody[proof](stream, kindProof)
	if err != nil {
		return err
	}
	if !secret.IsAuthentic(transcript(callerPurpose, greeting.Nonce, nonce, greeting.VM), answer.Authenticator) {
		return errNotAuthentic
	}
	stream.peer, stream.maxReceived = greeting.VM, maxFrame
	if err := stream.conn.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clearing the deadline of a handshake: %w", err)
	}
	return nil
}
