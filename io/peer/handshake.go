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

// The bounds of the exchange in which two hosts prove that they have the same secret.
const (
	handshakeTimeout = 2 * time.Second
	maxHandshake     = 4 << 10 // bytes
	nonceLength      = 32      // bytes
)

// The roles of the two ends, which keep a proof of one from serving as that of the other.
const (
	roleCaller = "caller"
	roleCallee = "callee"
)

// handshake exchanges names and proofs. It returns the peer's name and whether the peer compresses what it sends.
func handshake(conn net.Conn, own string, secret []byte, role string, deflates bool) (string, bool, error) {
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
	mine := hello{Name: own, Nonce: make([]byte, nonceLength), Deflates: deflates}
	if _, err := rand.Read(mine.Nonce); err != nil {
		return "", false, newError(op, kind.Unavailable, err)
	}
	var theirs hello
	if err := exchange(conn, mine, &theirs); err != nil {
		return "", false, newError(op, kind.Denied, err)
	}
	if len(theirs.Nonce) != nonceLength || theirs.Name == "" {
		return "", false, newError(op, kind.Denied, errors.New("the peer sent no name or nonce"))
	}
	var answer proof
	if err := exchange(conn, proof{MAC: mac(secret, role, own, theirs.Nonce, mine.Nonce, deflates)}, &answer); err != nil {
		return "", false, newError(op, kind.Denied, err)
	}
	if !hmac.Equal(answer.MAC, mac(secret, other(role), theirs.Name, mine.Nonce, theirs.Nonce, theirs.Deflates)) {
		return "", false, newError(op, kind.Denied, errors.New("the peer does not have the secret"))
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return "", false, newError(op, kind.Unavailable, err)
	}
	return theirs.Name, theirs.Deflates, nil
}

func exchange(conn net.Conn, mine, theirs any) error {
	if err := writeFrame(conn, mine); err != nil {
		return err
	}
	text, err := readFrame(conn, maxHandshake)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, theirs)
}

func mac(secret []byte, role, name string, challenge, own []byte, deflates bool) []byte {
	if deflates {
		role += " that deflates"
	}
	h := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(role), []byte(name), challenge, own} {
		h.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		h.Write(part)
	}
	return h.Sum(nil)
}

func other(role string) string {
	if role == roleCaller {
		return roleCallee
	}
	return roleCaller
}
