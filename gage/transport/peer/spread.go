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

// spreadTimeout bounds each call to the Spread service. An earlier deadline of
// the call's context still applies.
const spreadTimeout = 3 * time.Second

// RegisterSpread registers the Spread service on server, through which other
// nodes compare and fetch the documents of s.
func RegisterSpread(server grpc.ServiceRegistrar, s *spread.Spread) {
	wire.RegisterSpreadServer(server, &spreadServer{spread: s})
}

type spreadServer struct {
	wire.UnimplementedSpreadServer
	spread *spread.Spread
}

// Exchange receives the digest of another node's documents and returns the
// digest of this node's documents.
func (s *spreadServer) Exchange(_ context.Context, m *wire.SpreadDigest) (*wire.SpreadDigest, error) {
	return docmsg.ToSpreadDigest(s.spread.AnswerExchange(time.Now(), docmsg.FromSpreadDigest(m))), nil
}

// Fetch returns the newest revision of a document that this node holds. It returns
// a delta if this node knows the revision that the requesting node holds.
func (s *spreadServer) Fetch(_ context.Context, m *wire.FetchRequest) (*wire.FetchReply, error) {
	return docmsg.ToPullReply(s.spread.AnswerPull(spread.PullRequest{Key: m.GetKey(), HeldRevision: m.GetHave()})), nil
}

// SpreadClient calls the Spread service of other nodes. It implements
// spread.Peer.
type SpreadClient struct {
	Pool *Pool
}

// Exchange sends the digest d to the node at address and returns the digest of
// that node.
func (c SpreadClient) Exchange(ctx context.Context, address string, d spread.Digest) (spread.Digest, error) {
	conn, err := c.Pool.Conn(address)
	if err != nil {
		return spread.Digest{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	reply, err := wire.NewSpreadClient(conn).Exchange(ctx, docmsg.ToSpreadDigest(d))
	if err != nil {
		return spread.Digest{}, fmt.Errorf("exchange digests with %s: %w", address, err)
	}
	return docmsg.FromSpreadDigest(reply), nil
}

// Pull fetches a document from the node at address.
func (c SpreadClient) Pull(ctx context.Context, address string, pull spread.PullRequest) (spread.PullReply, error) {
	conn, err := c.Pool.Conn(address)
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
