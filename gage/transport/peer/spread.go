package peer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"github.com/greengagewind/greengagewind/gage/coordination/spread"
	"github.com/greengagewind/greengagewind/gage/protocol/docmsg"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// spreadTimeout bounds a call whose context sets no earlier deadline.
const spreadTimeout = 3 * time.Second

// RegisterSpread serves the documents of s to other nodes.
func RegisterSpread(server grpc.ServiceRegistrar, s *spread.Spread) {
	wire.RegisterSpreadServer(server, &spreadServer{spread: s})
}

type spreadServer struct {
	wire.UnimplementedSpreadServer
	spread *spread.Spread
}

// Exchange compares the documents of two nodes.
func (s *spreadServer) Exchange(_ context.Context, m *wire.SpreadDigest) (*wire.SpreadDigest, error) {
	return docmsg.ToSpreadDigest(s.spread.AnswerExchange(time.Now(), docmsg.FromSpreadDigest(m))), nil
}

// Fetch returns one document.
func (s *spreadServer) Fetch(_ context.Context, m *wire.FetchRequest) (*wire.FetchReply, error) {
	return docmsg.ToPullReply(s.spread.AnswerPull(spread.PullRequest{Key: m.GetKey(), HeldRevision: m.GetHave()})), nil
}

// SpreadPeer implements spread.Peer.
type SpreadPeer struct {
	Pool *Pool
}

// Exchange compares this node's documents with those of the node at address.
func (p SpreadPeer) Exchange(ctx context.Context, address string, d spread.Digest) (spread.Digest, error) {
	conn, err := p.Pool.Conn(address)
	if err != nil {
		return spread.Digest{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	answer, err := wire.NewSpreadClient(conn).Exchange(ctx, docmsg.ToSpreadDigest(d))
	if err != nil {
		return spread.Digest{}, fmt.Errorf("exchange digests with %s: %w", address, err)
	}
	return docmsg.FromSpreadDigest(answer), nil
}

// Pull fetches a document from the node at address.
func (p SpreadPeer) Pull(ctx context.Context, address string, pull spread.PullRequest) (spread.PullReply, error) {
	conn, err := p.Pool.Conn(address)
	if err != nil {
		return spread.PullReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	reply, err := wire.NewSpreadClient(conn).Fetch(ctx, &wire.FetchRequest{Key: pull.Key, Have: pull.HeldRevision})
	if err != nil {
		return spread.PullReply{}, fmt.Errorf("fetch %s from %s: %w", pull.Key, address, err)
	}
	return docmsg.FromPullReply(reply), nil
}
