package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	flushInterval = 100 * time.Millisecond
	bufferBytes   = 1 << 16
)

// Writer appends records to a file and flushes them every 100 ms and at Close.
// It is safe for use by many goroutines.
type Writer struct {
	mu      sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
	// firstErr is the first error of any write, flush or close.
	firstErr error
	// stop is closed to end flushPeriodically, which closes done.
	stop chan struct{}
	done chan struct{}
}

// Create returns a Writer that appends to the file at path and creates the file if
// there is none. If path is "", the Writer discards all records.
func Create(path string) (*Writer, error) {
	w := &Writer{stop: make(chan struct{}), done: make(chan struct{})}
	if path == "" {
		close(w.done)
		return w, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	w.file = file
	w.buffer = bufio.NewWriterSize(file, bufferBytes)
	w.encoder = json.NewEncoder(w.buffer)
	go w.flushPeriodically()
	return w, nil
}

// Write appends one record as a line of JSON. If that fails, Close returns the
// error.
func (w *Writer) Write(line any) {
	if w.file == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteError(w.encoder.Encode(line))
}

// Close flushes and closes the file. It returns the first error of any write,
// flush or close.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	close(w.stop)
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteError(w.buffer.Flush())
	w.noteError(w.file.Close())
	return w.firstErr
}

func (w *Writer) flushPeriodically() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.mu.Lock()
			w.noteError(w.buffer.Flush())
			w.mu.Unlock()
		}
	}
}

// noteError stores err if it is the first error. The caller holds mu.
func (w *Writer) noteError(err error) {
	if w.firstErr == nil && err != nil {
		w.firstErr = fmt.Errorf("write log: %w", err)
	}
}
