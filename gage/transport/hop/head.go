package hop

import (
	"bytes"
	"io"
	"math"
)

// headReader reads from a connection. While the header of a response is read, it ends
// after a number of bytes or lines.
type headReader struct {
	reader io.Reader
	// bytes and lines are how many may still be read.
	bytes, lines int
	folds        foldFinder
}

func (h *headReader) limit(bytes, lines int) { h.bytes, h.lines = bytes, lines }

func (h *headReader) unlimit() { h.limit(math.MaxInt, math.MaxInt) }

// isExhausted reports whether a limit was reached.
func (h *headReader) isExhausted() bool { return h.bytes <= 0 || h.lines <= 0 }

// Read reads at most the bytes that are left.
func (h *headReader) Read(p []byte) (int, error) {
	if h.isExhausted() {
		return 0, io.EOF
	}
	n, err := h.reader.Read(p[:min(len(p), h.bytes)])
	h.folds.look(p[:n])
	if h.bytes != math.MaxInt {
		h.bytes -= n
	}
	if h.lines != math.MaxInt {
		h.lines -= bytes.Count(p[:n], []byte("\n"))
	}
	return n, err
}
