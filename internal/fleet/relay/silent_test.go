package relay

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

// silentCaller reaches nobody.
type silentCaller struct{}

func (silentCaller) Self() peer.Node { return peer.Node{ID: "self"} }

func (silentCaller) Call(context.Context, peer.Node, string, proto.Message, proto.Message) error {
	return errors.New("nobody answers")
}

func (silentCaller) Handle(string, peer.Handler) {}
