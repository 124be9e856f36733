package peer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/greengagewind/greengagewind/gage/coordination/quota"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
	"github.com/greengagewind/greengagewind/gage/protocol/tokens"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// quotaTimeout bounds a quota call whose context has no earlier deadline.
const quotaTimeout = time.Second

// QuotaHolder answers for the slots that this process holds.
type QuotaHolder interface {
	Issue(ctx context.Context, ask quota.TakeRequest) (quota.TakeReply, error)
	Adopted(ctx context.Context, ask quota.AdoptedRequest) (quota.AdoptedReply, error)
}

// ShareMember answers as a member of slots that others hold.
type ShareMember interface {
	Confirm(ctx context.Context, ask share.ConfirmRequest) (share.ConfirmReply, error)
}

// RegisterQuota serves the quota calls of other nodes.
func RegisterQuota(server grpc.ServiceRegistrar, holder QuotaHolder, member ShareMember) {
	wire.RegisterQuotaServer(server, &quotaServer{holder: holder, member: member})
}

type quotaServer struct {
	wire.UnimplementedQuotaServer
	holder QuotaHolder
	member ShareMember
}

func (s *quotaServer) Take(ctx context.Context, m *wire.QuotaTakeRequest) (*wire.QuotaTakeReply, error) {
	ask := tokens.FromTakeRequest(m)
	if ask.Count < 1 {
		return nil, status.Errorf(codes.InvalidArgument, "take tokens: Count is %d, must be at least 1", ask.Count)
	}
	answer, err := s.holder.Issue(ctx, ask)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return tokens.ToTakeReply(answer), nil
}

func (s *quotaServer) Adopted(ctx context.Context, m *wire.QuotaAdoptedRequest) (*wire.QuotaAdoptedReply, error) {
	answer, err := s.holder.Adopted(ctx, tokens.FromAdoptedRequest(m))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return tokens.ToAdoptedReply(answer), nil
}

func (s *quotaServer) Confirm(ctx context.Context, m *wire.ShareConfirmRequest) (*wire.ShareConfirmReply, error) {
	answer, err := s.member.Confirm(ctx, tokens.FromConfirmRequest(m))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return tokens.ToConfirmReply(answer), nil
}

// QuotaClient carries quota calls to other nodes. It implements quota.Peers
// and share.Peers.
type QuotaClient struct {
	pool *Pool
}

var (
	_ quota.Peers = (*QuotaClient)(nil)
	_ share.Peers = (*QuotaClient)(nil)
)

// NewQuotaClient returns a client over the pool's connections.
func NewQuotaClient(pool *Pool) *QuotaClient {
	return &QuotaClient{pool: pool}
}

func (c *QuotaClient) client(address string) (wire.QuotaClient, error) {
	conn, err := c.pool.Conn(address)
	if err != nil {
		return nil, err
	}
	return wire.NewQuotaClient(conn), nil
}

// Take implements quota.Peers.
func (c *QuotaClient) Take(ctx context.Context, address string, ask quota.TakeRequest) (quota.TakeReply, error) {
	client, err := c.client(address)
	if err != nil {
		return quota.TakeReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := client.Take(ctx, tokens.ToTakeRequest(ask))
	if err != nil {
		return quota.TakeReply{}, fmt.Errorf("take tokens from %s: %w", address, err)
	}
	return tokens.FromTakeReply(reply), nil
}

// Adopted implements quota.Peers.
func (c *QuotaClient) Adopted(ctx context.Context, address string, ask quota.AdoptedRequest) (quota.AdoptedReply, error) {
	client, err := c.client(address)
	if err != nil {
		return quota.AdoptedReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := client.Adopted(ctx, tokens.ToAdoptedRequest(ask))
	if err != nil {
		return quota.AdoptedReply{}, fmt.Errorf("ask %s for its generation: %w", address, err)
	}
	return tokens.FromAdoptedReply(reply), nil
}

// Confirm implements share.Peers.
func (c *QuotaClient) Confirm(ctx context.Context, address string, ask share.ConfirmRequest) (share.ConfirmReply, error) {
	client, err := c.client(address)
	if err != nil {
		return share.ConfirmReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := client.Confirm(ctx, tokens.ToConfirmRequest(ask))
	if err != nil {
		return share.ConfirmReply{}, fmt.Errorf("ask %s to confirm: %w", address, err)
	}
	return tokens.FromConfirmReply(reply), nil
}
