package relay

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

// unreachableCaller is a Caller whose calls all fail.
type unreachableCaller struct{}

func (unreachableCaller) Self() peer.Node { return peer.Node{ID: "self"} }

func (unreachableCaller) Call(context.Context, peer.Node, string, proto.Message, proto.Message) error {
	return errors.New("nobody answers")
}

func (unreachableCaller) Handle(string, peer.Handler) {}
