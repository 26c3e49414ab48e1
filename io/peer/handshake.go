package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net"
	"time"

	"redwingsill/core/kind"
)

// Limits of the handshake, in which two hosts prove to each other that they know the shared secret.
const (
	handshakeTimeout  = 2 * time.Second
	maxHandshakeBytes = 4 << 10 // of one frame
	nonceBytes        = 32
)

// Roles of the two ends. The role is part of the proof, so that a proof cannot be reflected to its sender.
const (
	roleDialer   = "caller"
	roleAcceptor = "callee"
)

// handshake authenticates both ends of a connection. It tells the peer this host's name and whether it compresses what
// it sends, and returns the same about the peer. Each error is an [*Error], of kind Denied if the peer failed to
// authenticate or to complete the exchange, and Unavailable otherwise.
func handshake(conn net.Conn, ownName string, secret []byte, role string, compresses bool) (string, bool, error) {
	const op = "handshake"
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", false, newError(op, kind.Unavailable, err)
	}
	type hello struct {
		Name     string
		Nonce    []byte
		Deflates bool
	}
	type proof struct{ MAC []byte }
	ownHello := hello{Name: ownName, Nonce: make([]byte, nonceBytes), Deflates: compresses}
	if _, err := rand.Read(ownHello.Nonce); err != nil {
		return "", false, newError(op, kind.Unavailable, err)
	}
	var peerHello hello
	if err := exchangeFrames(conn, ownHello, &peerHello); err != nil {
		return "", false, newError(op, kind.Denied, err)
	}
	if len(peerHello.Nonce) != nonceBytes || peerHello.Name == "" {
		return "", false, newError(op, kind.Denied, errors.New("the peer sent no name or nonce"))
	}
	var peerProof proof
	if err := exchangeFrames(conn, proof{MAC: proofMAC(secret, role, ownName, peerHello.Nonce, ownHello.Nonce, compresses)}, &peerProof); err != nil {
		return "", false, newError(op, kind.Denied, err)
	}
	if !hmac.Equal(peerProof.MAC, proofMAC(secret, oppositeRole(role), peerHello.Name, ownHello.Nonce, peerHello.Nonce, peerHello.Deflates)) {
		return "", false, newError(op, kind.Denied, errors.New("the peer does not have the secret"))
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return "", false, newError(op, kind.Unavailable, err)
	}
	return peerHello.Name, peerHello.Deflates, nil
}

// exchangeFrames sends a JSON value in one frame, and decodes the value that the peer sends into received.
func exchangeFrames(conn net.Conn, sent, received any) error {
	if err := writeFrame(conn, sent); err != nil {
		return err
	}
	message, err := readFrame(conn, maxHandshakeBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(message, received)
}

// proofMAC returns the proof of the named host: an HMAC of its role, whether it compresses what it sends, its name, the
// nonce that it received as a challenge, and its own nonce. Each part is preceded by its length, so that different
// parts never give the same input.
func proofMAC(secret []byte, role, name string, challenge, ownNonce []byte, compresses bool) []byte {
	if compresses {
		role += " that deflates"
	}
	h := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(role), []byte(name), challenge, ownNonce} {
		h.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		h.Write(part)
	}
	return h.Sum(nil)
}

func oppositeRole(role string) string {
	if role == roleDialer {
		return roleAcceptor
	}
	return roleDialer
}
