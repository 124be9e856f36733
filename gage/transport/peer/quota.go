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

// quotaTimeout bounds each call to the Quota service. An earlier deadline of the
// call's context still applies.
const quotaTimeout = time.Second

// QuotaHolder handles the requests of other nodes for the share slots that this
// process holds.
type QuotaHolder interface {
	Issue(ctx context.Context, request quota.TakeRequest) (quota.TakeReply, error)
	Adopted(ctx context.Context, request quota.AdoptedRequest) (quota.AdoptedReply, error)
}

// ShareMember handles the requests of other nodes for the share slots of which
// this process is a member but not the holder.
type ShareMember interface {
	Confirm(ctx context.Context, request share.ConfirmRequest) (share.ConfirmReply, error)
}

// RegisterQuota registers the Quota service on server. holder and member handle
// its requests.
func RegisterQuota(server grpc.ServiceRegistrar, holder QuotaHolder, member ShareMember) {
	wire.RegisterQuotaServer(server, &quotaServer{holder: holder, member: member})
}

type quotaServer struct {
	wire.UnimplementedQuotaServer
	holder QuotaHolder
	member ShareMember
}

func (s *quotaServer) Take(ctx context.Context, m *wire.QuotaTakeRequest) (*wire.QuotaTakeReply, error) {
	request := tokens.FromTakeRequest(m)
	if request.Count < 1 {
		return nil, status.Errorf(codes.InvalidArgument, "take tokens: Count is %d, must be at least 1", request.Count)
	}
	reply, err := s.holder.Issue(ctx, request)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return tokens.ToTakeReply(reply), nil
}

func (s *quotaServer) Adopted(ctx context.Context, m *wire.QuotaAdoptedRequest) (*wire.QuotaAdoptedReply, error) {
	reply, err := s.holder.Adopted(ctx, tokens.FromAdoptedRequest(m))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return tokens.ToAdoptedReply(reply), nil
}

func (s *quotaServer) Confirm(ctx context.Context, m *wire.ShareConfirmRequest) (*wire.ShareConfirmReply, error) {
	reply, err := s.member.Confirm(ctx, tokens.FromConfirmRequest(m))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return tokens.ToConfirmReply(reply), nil
}

// QuotaClient calls the Quota service of other nodes. It implements quota.Peers
// and share.Peers.
type QuotaClient struct {
	pool *Pool
}

var (
	_ quota.Peers = (*QuotaClient)(nil)
	_ share.Peers = (*QuotaClient)(nil)
)

// NewQuotaClient returns a client that uses the connections of pool.
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

// Take requests tokens from the node at address. It implements quota.Peers.
func (c *QuotaClient) Take(ctx context.Context, address string, request quota.TakeRequest) (quota.TakeReply, error) {
	client, err := c.client(address)
	if err != nil {
		return quota.TakeReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := client.Take(ctx, tokens.ToTakeRequest(request))
	if err != nil {
		return quota.TakeReply{}, fmt.Errorf("take tokens from %s: %w", address, err)
	}
	return tokens.FromTakeReply(reply), nil
}

// Adopted asks the node at address which configuration generation it has adopted
// and which of the slots in request it may serve. It implements quota.Peers.
func (c *QuotaClient) Adopted(ctx context.Context, address string, request quota.AdoptedRequest) (quota.AdoptedReply, error) {
	client, err := c.client(address)
	if err != nil {
		return quota.AdoptedReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := client.Adopted(ctx, tokens.ToAdoptedRequest(request))
	if err != nil {
		return quota.AdoptedReply{}, fmt.Errorf("get adopted generation from %s: %w", address, err)
	}
	return tokens.FromAdoptedReply(reply), nil
}

// Confirm asks the node at address to confirm versions of share slots. It
// implements share.Peers.
func (c *QuotaClient) Confirm(ctx context.Context, address string, request share.ConfirmRequest) (share.ConfirmReply, error) {
	client, err := c.client(address)
	if err != nil {
		return share.ConfirmReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := client.Confirm(ctx, tokens.ToConfirmRequest(request))
	if err != nil {
		return share.ConfirmReply{}, fmt.Errorf("confirm share slots with %s: %w", address, err)
	}
	return tokens.FromConfirmReply(reply), nil
}
