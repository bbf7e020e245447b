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

// byteReader reads one byte at a time: a buffered reader could also consume bytes that follow the handshake.
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

// computeProof returns an HMAC over both nonces and the prover's ID under the fleet's key. Each side proves its own ID
// and checks the other's, so the nonces change places between the two.
func computeProof(key, verifierNonce, proverNonce []byte, proverID string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(verifierNonce)
	mac.Write(proverNonce)
	mac.Write([]byte(proverID))
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

// handshakeAsDialer runs the dialing side: it sends a nonce, checks the acceptor's proof and sends its own proof.
func handshakeAsDialer(conn net.Conn, self Node, key []byte) (Node, error) {
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
	if !hmac.Equal(theirs.GetProof(), computeProof(key, ours, theirs.GetNonce(), theirs.GetDaemonId())) {
		return Node{}, errWrongKey()
	}
	proof := computeProof(key, theirs.GetNonce(), ours, self.ID)
	return nodeFromHello(&theirs), writeMessage(conn, self.hello(nil, proof))
}

// handshakeAsAcceptor runs the accepting side: it answers the first hello with nonce and proof and checks the dialer's proof.
func handshakeAsAcceptor(conn net.Conn, self Node, key []byte) (Node, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	var first peerpb.Hello
	if err := readMessage(byteReader{conn}, &first); err != nil {
		return Node{}, err
	}
	ours := newNonce()
	proof := computeProof(key, first.GetNonce(), ours, self.ID)
	if err := writeMessage(conn, self.hello(ours, proof)); err != nil {
		return Node{}, err
	}
	var last peerpb.Hello
	if err := readMessage(byteReader{conn}, &last); err != nil {
		return Node{}, err
	}
	if !hmac.Equal(last.GetProof(), computeProof(key, ours, first.GetNonce(), first.GetDaemonId())) {
		return Node{}, errWrongKey()
	}
	return nodeFromHello(&first), nil
}
