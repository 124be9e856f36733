package etcd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/kvmsg"
)

// Watch calls onChange for every change of a key with the prefix that was made after
// revision. It returns when ctx ends or the watch fails, always with an error. For a
// deleted key the entry has Revision 0 and a nil Value.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, onChange func(gage.Entry)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timeout applies only until the store sends its first message. From then
	// on the watch has no time limit.
	openTimer := time.AfterFunc(callTimeout, cancel)
	defer openTimer.Stop()
	request := kvmsg.WatchRequest{CreateRequest: kvmsg.WatchCreateRequest{
		Key:           []byte(prefix),
		RangeEnd:      kvmsg.PrefixEnd(prefix),
		StartRevision: revision + 1,
	}}
	err := c.send(ctx, kvmsg.PathWatch, request, func(body io.Reader) error {
		return readMessages(body, openTimer, onChange)
	})
	return fmt.Errorf("watch %s: %w", prefix, err)
}

// readMessages reads the messages of a watch until it fails. The first message stops
// openTimer.
func readMessages(body io.Reader, openTimer *time.Timer, onChange func(gage.Entry)) error {
	decoder := json.NewDecoder(body)
	for {
		var message kvmsg.WatchLine
		if err := decoder.Decode(&message); err != nil {
			return fmt.Errorf("%w: %w", ErrNoAnswer, err)
		}
		openTimer.Stop()
		if err := deliverEvents(message, onChange); err != nil {
			return err
		}
	}
}

// deliverEvents calls onChange for each event of a message. It returns an error if the
// store has ended the watch.
func deliverEvents(message kvmsg.WatchLine, onChange func(gage.Entry)) error {
	if message.Error != nil {
		return fmt.Errorf("%w: %s", ErrNoAnswer, message.Error.Message)
	}
	if message.Result == nil {
		return nil
	}
	for _, event := range message.Result.Events {
		e := entry(event.Kv)
		if event.Type == kvmsg.EventDelete {
			e.Value, e.Revision = nil, 0
		}
		onChange(e)
	}
	if message.Result.Canceled {
		return fmt.Errorf("%w: the store canceled the watch at compact revision %d", io.EOF, message.Result.CompactRevision)
	}
	return nil
}
