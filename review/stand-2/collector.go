package main

import (
	"io"
	"os"
	"sync"
)

// collector is a stand-in for the platform's log collector: it reads what a process
// writes to a pipe.
type collector struct {
	// reading is held while the collector pauses, and for each read.
	reading sync.Mutex
	once    sync.Once
	paused  bool
	done    chan struct{}
}

// newCollector returns a collector that copies to a file, and the end of the pipe that
// the process writes to.
func newCollector(path string) (*collector, *os.File, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	input, output, err := os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	c := &collector{done: make(chan struct{})}
	go func() {
		defer close(c.done)
		defer func() { _ = file.Close() }()
		defer func() { _ = input.Close() }()
		buffer := make([]byte, 4096)
		for {
			n, err := input.Read(buffer)
			c.reading.Lock()
			_, _ = file.Write(buffer[:n])
			c.reading.Unlock()
			if err == io.EOF || err != nil {
				return
			}
		}
	}()
	return c, output, nil
}

// pause makes the collector read nothing until resume.
func (c *collector) pause() {
	c.reading.Lock()
	c.paused = true
}

// resume ends a pause.
func (c *collector) resume() {
	if c.paused {
		c.once.Do(c.reading.Unlock)
	}
}
