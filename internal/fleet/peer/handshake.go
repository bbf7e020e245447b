package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const (
	handshakeTimeout = 3 * time.Second
	nonceBytes       = 16
	maxMessageBytes  = 16 << 20
)

// byteReader reads one byte at a time, so that nothing after the handshake is swallowed.
type byteReader struct{ io.Reader }

func (b byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.Reader, one[:])
	return one[0], err
}

func readMessage(r protodelim.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}

func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// prove binds both nonces and the prover's ID to the fleet's key.
func prove(key, theirs, ours []byte, id string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(theirs)
	mac.Write(ours)
	mac.Write([]byte(id))
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

func errWrongKey() error {
	return fault.New(fault.Unauthorized, "give every daemon the same session keys", "peer does not know the fleet's key")
}

// handshakeOut runs the dialing side: hello, their hello with proof, our proof.
func handshakeOut(conn net.Conn, self Node, key []byte) (Node, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	ours := newNonce()
	if err := writeMessage(conn, self.hello(ours, nil)); err != nil {
		return Node{}, err
	}
	var theirs peerpb.Hello
	if err := readMessage(byteReader{conn}, &theirs); err != nil {
		return Node{}, err
	}
	if !hmac.Equal(theirs.GetProof(), prove(key, ours, theirs.GetNonce(), theirs.GetDaemonId())) {
		return Node{}, errWrongKey()
	}
	proof := prove(key, theirs.GetNonce(), ours, self.ID)
	return nodeOf(&theirs), writeMessage(conn, self.hello(nil, proof))
}

// handshakeIn runs the accepting side.
func handshakeIn(conn net.Conn, self Node, key []byte) (Node, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	var first peerpb.Hello
	if err := readMessage(byteReader{conn}, &first); err != nil {
		return Node{}, err
	}
	ours := newNonce()
	proof := prove(key, first.GetNonce(), ours, self.ID)
	if err := writeMessage(conn, self.hello(ours, proof)); err != nil {
		return Node{}, err
	}
	var last peerpb.Hello
	if err := readMessage(byteReader{conn}, &last); err != nil {
		return Node{}, err
	}
	if !hmac.Equal(last.GetProof(), prove(key, ours, first.GetNonce(), first.GetDaemonId())) {
		return Node{}, errWrongKey()
	}
	return nodeOf(&first), nil
}
