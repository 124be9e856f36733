package peer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/dedup"
	"github.com/greengagewind/greengagewind/gage/protocol/claim"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// dedupTimeout bounds each call to the Dedup service. An earlier deadline of the
// call's context still applies.
const dedupTimeout = 2 * time.Second

var errMalformed = errors.New("message is malformed")

// dedupServer implements the gRPC service Dedup, by which nodes coordinate the
// suppression of duplicate calls.
type dedupServer struct {
	wire.UnimplementedDedupServer
	keeper *dedup.Keeper
	clock  gage.Clock
}

// RegisterDedup registers the Dedup service on server. keeper handles its
// requests.
func RegisterDedup(server *grpc.Server, keeper *dedup.Keeper, clock gage.Clock) {
	wire.RegisterDedupServer(server, &dedupServer{keeper: keeper, clock: clock})
}

// Claim handles a claim by an entry node, the node that received the call from
// its caller.
func (s *dedupServer) Claim(ctx context.Context, m *wire.ClaimRequest) (*wire.ClaimReply, error) {
	r, ok := claim.FromClaimRequest(m)
	if !ok {
		return nil, malformedStatus()
	}
	return claim.ToClaimReply(s.keeper.Claim(ctx, s.clock.Now(), r)), nil
}

// Record records a claim on this node, a witness of the shard, at the request of
// the shard's home.
func (s *dedupServer) Record(_ context.Context, m *wire.RecordRequest) (*wire.RecordReply, error) {
	r, ok := claim.FromRecordRequest(m)
	if !ok {
		return nil, malformedStatus()
	}
	return claim.ToRecordReply(s.keeper.Record(s.clock.Now(), r)), nil
}

// Settle handles the outcome of a call, reported by an entry node or by the home
// of a shard.
func (s *dedupServer) Settle(_ context.Context, m *wire.SettleRequest) (*wire.SettleReply, error) {
	r, ok := claim.FromSettleRequest(m)
	if !ok {
		return nil, malformedStatus()
	}
	return claim.ToSettleReply(s.keeper.Settle(s.clock.Now(), r)), nil
}

// Page returns a page of this node's claims to a node that has newly taken over a
// different slot of the same shard.
func (s *dedupServer) Page(_ context.Context, m *wire.ClaimPageRequest) (*wire.ClaimPageReply, error) {
	return claim.ToPageReply(s.keeper.Page(s.clock.Now(), claim.FromPageRequest(m))), nil
}

func malformedStatus() error {
	return status.Error(codes.InvalidArgument, errMalformed.Error())
}

// DedupClient calls the Dedup service of other nodes. It implements dedup.Peers:
// an error that does not wrap dedup.ErrNotSent means that the message may have
// arrived.
type DedupClient struct {
	pool *Pool
}

var _ dedup.Peers = (*DedupClient)(nil)

// NewDedupClient returns a client that uses the connections of pool.
func NewDedupClient(pool *Pool) *DedupClient {
	return &DedupClient{pool: pool}
}

// Claim asks the home at address for the right to run a call.
func (d *DedupClient) Claim(ctx context.Context, address string, r dedup.ClaimRequest) (dedup.ClaimReply, error) {
	client, err := d.client(address)
	if err != nil {
		return dedup.ClaimReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, dedupTimeout)
	defer cancel()
	ctx, sent := withSentFlag(ctx)
	m, err := client.Claim(ctx, claim.ToClaimRequest(r))
	if err != nil {
		return dedup.ClaimReply{}, wrapUnlessSent(sent, fmt.Errorf("claim key at %s: %w", address, err))
	}
	return claim.FromClaimReply(m), nil
}

// Record asks the witness at address to record a claim.
func (d *DedupClient) Record(ctx context.Context, address string, r dedup.RecordRequest) (dedup.RecordReply, error) {
	client, err := d.client(address)
	if err != nil {
		return dedup.RecordReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, dedupTimeout)
	defer cancel()
	ctx, sent := withSentFlag(ctx)
	m, err := client.Record(ctx, claim.ToRecordRequest(r))
	if err != nil {
		return dedup.RecordReply{}, wrapUnlessSent(sent, fmt.Errorf("record claim at %s: %w", address, err))
	}
	return claim.FromRecordReply(m), nil
}

// Settle reports the outcome of a call to the node at address.
func (d *DedupClient) Settle(ctx context.Context, address string, r dedup.SettleRequest) (dedup.SettleReply, error) {
	client, err := d.client(address)
	if err != nil {
		return dedup.SettleReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, dedupTimeout)
	defer cancel()
	ctx, sent := withSentFlag(ctx)
	m, err := client.Settle(ctx, claim.ToSettleRequest(r))
	if err != nil {
		return dedup.SettleReply{}, wrapUnlessSent(sent, fmt.Errorf("settle claim at %s: %w", address, err))
	}
	return claim.FromSettleReply(m), nil
}

// Page fetches a page of claims from the node at address.
func (d *DedupClient) Page(ctx context.Context, address string, r dedup.PageRequest) (dedup.PageReply, error) {
	client, err := d.client(address)
	if err != nil {
		return dedup.PageReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, dedupTimeout)
	defer cancel()
	ctx, sent := withSentFlag(ctx)
	m, err := client.Page(ctx, claim.ToPageRequest(r))
	if err != nil {
		return dedup.PageReply{}, wrapUnlessSent(sent, fmt.Errorf("fetch page of claims from %s: %w", address, err))
	}
	reply, ok := claim.FromPageReply(m)
	if !ok {
		return dedup.PageReply{}, fmt.Errorf("fetch page of claims from %s: %w", address, errMalformed)
	}
	return reply, nil
}

func (d *DedupClient) client(address string) (wire.DedupClient, error) {
	conn, err := d.pool.Conn(address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", dedup.ErrNotSent, err)
	}
	return wire.NewDedupClient(conn), nil
}

// wrapUnlessSent wraps err in dedup.ErrNotSent if the message was not handed to
// a connection.
func wrapUnlessSent(sent *atomic.Bool, err error) error {
	if sent.Load() {
		return err
	}
	return fmt.Errorf("%w: %w", dedup.ErrNotSent, err)
}
