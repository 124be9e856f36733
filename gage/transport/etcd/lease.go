package etcd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/kvmsg"
)

// Grant creates a lease that expires after ttl unless it is kept alive. The ttl is
// rounded up to whole seconds, the unit of the store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (gage.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response kvmsg.GrantResponse
	if err := c.call(ctx, kvmsg.PathGrant, kvmsg.GrantRequest{TTL: seconds}, &response); err != nil {
		return 0, fmt.Errorf("grant a lease: %w", err)
	}
	if response.ID == 0 {
		return 0, fmt.Errorf("grant a lease: %w: %s", ErrNoAnswer, response.Error)
	}
	return gage.LeaseID(response.ID), nil
}

// KeepAlive renews a lease. It returns false if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, lease gage.LeaseID) (bool, error) {
	var response kvmsg.KeepAliveLine
	request := kvmsg.KeepAliveRequest{ID: int64(lease)}
	if err := c.call(ctx, kvmsg.PathKeepAlive, request, &response); err != nil {
		return false, fmt.Errorf("keep lease %d alive: %w", lease, err)
	}
	if response.Result == nil {
		return false, fmt.Errorf("keep lease %d alive: %w: the response is empty", lease, ErrNoAnswer)
	}
	return response.Result.TTL > 0, nil
}

// Revoke ends a lease and deletes the keys attached to it. Revoking a lease that has
// already expired is no error.
func (c *Client) Revoke(ctx context.Context, lease gage.LeaseID) error {
	var response kvmsg.RevokeResponse
	err := c.call(ctx, kvmsg.PathRevoke, kvmsg.RevokeRequest{ID: int64(lease)}, &response)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil
	}
	if err != nil {
		return fmt.Errorf("revoke lease %d: %w", lease, err)
	}
	return nil
}
