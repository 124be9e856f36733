package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sender is what a client of a crowd does with one connection, until it fails.
type sender func(ctx context.Context, c net.Conn) error

// member is a client of a crowd.
type member struct {
	address string
	send    sender
}

// members returns a number of clients of the same kind.
func members(count int, address string, send sender) []member {
	crowd := make([]member, count)
	for i := range crowd {
		crowd[i] = member{address, send}
	}
	return crowd
}

// run lets all clients of a crowd send until ctx ends, and then closes their connections. A
// client whose connection is closed opens another one.
func run(ctx context.Context, crowd []member) {
	const pause = 100 * time.Millisecond
	var running sync.WaitGroup
	for _, m := range crowd {
		running.Go(func() {
			for ctx.Err() == nil {
				m.connect(ctx)
				wait(ctx, pause)
			}
		})
	}
	running.Wait()
}

func (m member) connect(ctx context.Context) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", m.address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	_ = m.send(ctx, c)
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// hold keeps a connection open until the other side closes it.
func hold(c net.Conn) error {
	_, err := io.Copy(io.Discard, c)
	return err
}

var requestCount atomic.Int64

// head returns the header of an ordinary request, without its last line.
func head(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Key: %s\r\nX-Request-Id: crowd-%d\r\nX-Deadline-Milliseconds: 4000\r\n",
		path, host, key, requestCount.Add(1))
}

// repeat writes a text again and again, with pauses after the first bytes: a crowd that
// sends at full speed would measure the speed of the machine.
func repeat(ctx context.Context, c net.Conn, text func(i int) string) error {
	const pause, fullSpeedBytes, blockBytes = 10 * time.Millisecond, 1 << 20, 4 << 10
	written := 0
	for i := 0; ; {
		var block strings.Builder
		for ; block.Len() < blockBytes; i++ {
			block.WriteString(text(i))
		}
		n, err := io.WriteString(c, block.String())
		if err != nil {
			return err
		}
		if written += n; written > fullSpeedBytes {
			wait(ctx, pause)
		}
	}
}

func same(text string) func(int) string { return func(int) string { return text } }

// shortLine returns a header line that differs from those for other numbers.
func shortLine(i int) string { return fmt.Sprintf("%x:\r\n", i) }

func sendNothing(_ context.Context, c net.Conn) error { return hold(c) }

func sendShortLines(ctx context.Context, c net.Conn) error {
	if _, err := io.WriteString(c, head("/look/1")); err != nil {
		return err
	}
	return repeat(ctx, c, shortLine)
}

// sendShortLinesSlowly stays within the size of a header, and does not end it.
func sendShortLinesSlowly(ctx context.Context, c net.Conn) error {
	text := head("/look/1")
	for i := 0; len(text) < maxHeaderBytes-16; i++ {
		text += shortLine(i)
	}
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	return hold(c)
}

func sendLongLine(ctx context.Context, c net.Conn) error {
	if _, err := io.WriteString(c, head("/look/1")+"X-Long: "); err != nil {
		return err
	}
	return repeat(ctx, c, same("x"))
}

// sendCompleteHeads sends one request after the other with a header of many lines.
func sendCompleteHeads(_ context.Context, c net.Conn) error {
	buffer := make([]byte, 4<<10)
	for {
		text := head("/book/1") + "Content-Length: 0\r\n"
		for i := 0; len(text) < maxHeaderBytes-16; i++ {
			text += shortLine(i)
		}
		if _, err := io.WriteString(c, text+"\r\n"); err != nil {
			return err
		}
		if _, err := c.Read(buffer); err != nil {
			return err
		}
	}
}

func sendEmptyLines(ctx context.Context, c net.Conn) error { return repeat(ctx, c, same("\r\n")) }

func sendOtherProtocol(ctx context.Context, c net.Conn) error {
	return repeat(ctx, c, same("\x16\x03\x01\x00\xff\x00"))
}

// sendStalledBody announces a body of the largest size, and stops before its end.
func sendStalledBody(_ context.Context, c net.Conn) error {
	const missing = 64 << 10
	text := head("/book/1") + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes) + strings.Repeat("x", maxBodyBytes-missing)
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	return hold(c)
}

func sendChunks(ctx context.Context, c net.Conn) error {
	if _, err := io.WriteString(c, head("/book/1")+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	const chunkBytes = 4 << 10
	return repeat(ctx, c, same(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))))
}

func sendChunkExtension(ctx context.Context, c net.Conn) error {
	if _, err := io.WriteString(c, head("/book/1")+"Transfer-Encoding: chunked\r\n\r\n1;"); err != nil {
		return err
	}
	return repeat(ctx, c, same("x"))
}

func sendTrailer(ctx context.Context, c net.Conn) error {
	if _, err := io.WriteString(c, head("/book/1")+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"); err != nil {
		return err
	}
	return repeat(ctx, c, shortLine)
}

// sendWithoutReading piles up requests and reads no answer.
func sendWithoutReading(ctx context.Context, c net.Conn) error {
	const bodyBytes = 1 << 10
	return repeat(ctx, c, func(int) string {
		return head("/book/1") + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("x", bodyBytes)
	})
}

// readSlowly asks for long answers and reads them a few bytes at a time.
func readSlowly(ctx context.Context, c net.Conn) error {
	const bodyBytes, pause = 900 << 10, 100 * time.Millisecond
	text := head("/book/1") + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("x", bodyBytes)
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	buffer := make([]byte, 64)
	for ctx.Err() == nil {
		if _, err := c.Read(buffer); err != nil {
			return err
		}
		wait(ctx, pause)
	}
	return ctx.Err()
}

// forwardWithoutEnd sends what a node forwards, with a header that does not end.
func forwardWithoutEnd(ctx context.Context, c net.Conn) error {
	if _, err := io.WriteString(c, head("/book/1")+"Gage-Target: i-vm-1\r\n"); err != nil {
		return err
	}
	return repeat(ctx, c, shortLine)
}

// forwardStalledBody sends what a node forwards, with a body that does not end.
func forwardStalledBody(_ context.Context, c net.Conn) error {
	const missing = 64 << 10
	text := head("/book/1") + "Gage-Target: i-vm-1\r\nGage-Id: forwarded\r\nGage-Caller: search\r\nGage-Route: book\r\nGage-Service: booking\r\n" +
		"Gage-Rank: 1\r\nGage-Deadline: 4000\r\nGage-Ends: 4000\r\nGage-Wait: 4000\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes) + strings.Repeat("x", maxBodyBytes-missing)
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	return hold(c)
}
