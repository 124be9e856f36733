package etcd

import (
	"context"
	"fmt"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/kvmsg"
)

// Get returns the entry of key, with Revision 0 if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (gage.Entry, error) {
	var response kvmsg.RangeResponse
	if err := c.call(ctx, kvmsg.PathRange, kvmsg.RangeRequest{Key: []byte(key)}, &response); err != nil {
		return gage.Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	return firstEntry(key, &response), nil
}

// List returns the entries whose keys have the prefix, and the position of the store
// at which they were read. Its era is 0, since etcd does not number restores.
func (c *Client) List(ctx context.Context, prefix string) ([]gage.Entry, gage.StorePosition, error) {
	return c.list(ctx, prefix, false)
}

// ListKeys returns the same as List, but with nil values.
func (c *Client) ListKeys(ctx context.Context, prefix string) ([]gage.Entry, gage.StorePosition, error) {
	return c.list(ctx, prefix, true)
}

func (c *Client) list(ctx context.Context, prefix string, keysOnly bool) ([]gage.Entry, gage.StorePosition, error) {
	request := kvmsg.RangeRequest{
		Key:      []byte(prefix),
		RangeEnd: kvmsg.PrefixEnd(prefix),
		KeysOnly: keysOnly,
	}
	var response kvmsg.RangeResponse
	if err := c.call(ctx, kvmsg.PathRange, request, &response); err != nil {
		return nil, gage.StorePosition{}, fmt.Errorf("list %s: %w", prefix, err)
	}
	entries := make([]gage.Entry, len(response.Kvs))
	for i, kv := range response.Kvs {
		entries[i] = entry(kv)
	}
	return entries, gage.StorePosition{Revision: response.Header.Revision}, nil
}

// Swap writes value, attached to lease, if the key still has the given revision. A
// revision of 0 means that the key does not exist. If the revision differs, the same
// transaction reads the key instead. Swap returns
// the entry after the transaction and whether value was written.
func (c *Client) Swap(ctx context.Context, key string, revision int64, value []byte, lease gage.LeaseID) (gage.Entry, bool, error) {
	request := kvmsg.TxnRequest{
		Compare: []kvmsg.Compare{{
			Key:         []byte(key),
			Target:      kvmsg.CompareModRevision,
			Result:      kvmsg.CompareEqual,
			ModRevision: revision,
		}},
		Success: []kvmsg.RequestOp{{
			RequestPut: &kvmsg.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)},
		}},
		Failure: []kvmsg.RequestOp{{RequestRange: &kvmsg.RangeRequest{Key: []byte(key)}}},
	}
	var response kvmsg.TxnResponse
	if err := c.call(ctx, kvmsg.PathTxn, request, &response); err != nil {
		return gage.Entry{}, false, fmt.Errorf("swap %s: %w", key, err)
	}
	if response.Succeeded {
		return gage.Entry{Key: key, Value: value, Revision: response.Header.Revision}, true, nil
	}
	if len(response.Responses) != 1 || response.Responses[0].ResponseRange == nil {
		return gage.Entry{}, false, fmt.Errorf("swap %s: %w: the response lacks the current entry", key, ErrNoAnswer)
	}
	return firstEntry(key, response.Responses[0].ResponseRange), false, nil
}

// firstEntry returns the first entry of a response, or one with Revision 0 if the
// response has no entries.
func firstEntry(key string, response *kvmsg.RangeResponse) gage.Entry {
	if len(response.Kvs) == 0 {
		return gage.Entry{Key: key}
	}
	return entry(response.Kvs[0])
}

func entry(kv kvmsg.KeyValue) gage.Entry {
	return gage.Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}
