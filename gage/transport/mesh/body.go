package mesh

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// unreadBodyTimeout bounds the time in which the rest of a body is read after the
// response.
const unreadBodyTimeout = time.Second

// incomingBody is the body of a request to this node. Another goroutine may read it
// while the response is written.
type incomingBody struct {
	io.ReadCloser
	// isComplete is true once the whole body has been read.
	isComplete atomic.Bool
}

// respondBeforeBody lets the response of r be sent before its body has arrived.
// Otherwise, the HTTP server first reads up to 256 KB of the body.
func respondBeforeBody(rw http.ResponseWriter, r *http.Request) *incomingBody {
	body := &incomingBody{ReadCloser: r.Body}
	if r.Body == nil || r.ContentLength == 0 {
		body.isComplete.Store(true)
		return body
	}
	// Only servers of HTTP/2, which nodes do not use, do not support this.
	_ = http.NewResponseController(rw).EnableFullDuplex()
	r.Body = body
	return body
}

// Read reads from the body.
func (b *incomingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.isComplete.Store(true)
	}
	return n, err
}

// announceClose makes the response tell the sender that the connection is closed, if
// the body has not been read to its end. It must be called before the response is
// written.
func (b *incomingBody) announceClose(rw http.ResponseWriter) {
	if !b.isComplete.Load() {
		rw.Header()["Connection"] = []string{"close"}
	}
}

// drain reads the rest of the body after the response was written, for at most
// unreadBodyTimeout. If the connection were closed while the sender still writes, it
// would be reset, and the sender might not receive the response.
func (b *incomingBody) drain(now time.Time, rw http.ResponseWriter) {
	if b.isComplete.Load() {
		return
	}
	control := http.NewResponseController(rw)
	if control.Flush() != nil || control.SetReadDeadline(now.Add(unreadBodyTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, b)
}

// readBody reads the body of a request into w.body. If the body is longer than
// maxBufferedBytes, or no memory is free, w.bodyRest reads the remainder. Reading fails
// at the deadline of the request.
func (m *Mesh) readBody(w *targetRequest, rw http.ResponseWriter, r *http.Request) error {
	w.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody {
		w.length = 0
		return nil
	}
	control := http.NewResponseController(rw)
	if err := control.SetReadDeadline(w.deadline); err != nil {
		return fmt.Errorf("set the deadline of the body: %w", err)
	}
	buffered, isComplete, reserved, err := m.spool.Read(r.Body, maxBufferedBytes+1)
	w.body, w.bufferedBytes = buffered, reserved
	if err != nil {
		return err
	}
	if !isComplete {
		w.bodyRest = r.Body
		return nil
	}
	w.length = int64(len(buffered))
	return control.SetReadDeadline(time.Time{})
}
