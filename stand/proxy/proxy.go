// Package proxy is a TCP proxy that injects network faults: delay, reset, loss of data
// in one or both directions, and connections that fall silent for good.
package proxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is the fault that a proxy injects into its connections.
type Fault string

// The faults.
const (
	// Clean injects no fault.
	Clean Fault = "Clean"
	// Delayed delays each chunk of data by a random time of up to 300 ms.
	Delayed Fault = "Delayed"
	// Reset resets open connections and each new connection.
	Reset Fault = "Reset"
	// OneWay forwards data from callers and discards data to callers.
	OneWay Fault = "OneWay"
	// Silent accepts connections and discards data in both directions.
	Silent Fault = "Silent"
)

const (
	// maxDelay bounds the delay of a chunk.
	maxDelay    = 300 * time.Millisecond
	chunkBytes  = 16 << 10
	dialTimeout = time.Second
)

// Proxy forwards TCP connections to one address. It is safe for concurrent use.
type Proxy struct {
	listener           net.Listener
	destinationAddress string

	mu    sync.Mutex
	fault Fault
	conns map[*forwardedConn]bool
}

// forwardedConn is a connection from a caller and the one to the destination.
type forwardedConn struct {
	caller, destination net.Conn
	// isStalled is set if data and ends are discarded in both directions.
	isStalled atomic.Bool
}

// New starts a proxy that listens on one address and forwards connections to
// destinationAddress, with fault Clean. Both addresses are host:port.
func New(listen, destinationAddress string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("start proxy: %w", err)
	}
	p := &Proxy{listener: listener, destinationAddress: destinationAddress, fault: Clean, conns: make(map[*forwardedConn]bool)}
	go p.acceptLoop()
	return p, nil
}

// Address returns the listen address of the proxy as host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops listening and resets all connections.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.resetAll()
	return err
}

// SetFault replaces the fault for open and new connections. It resets the open
// connections if the new fault is Reset, or if the previous fault may have
// discarded data of theirs (OneWay and Silent).
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	previous := p.fault
	p.fault = fault
	p.mu.Unlock()
	if fault == Reset || previous == OneWay || previous == Silent {
		p.resetAll()
	}
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Stall makes the open connections fall silent for good: neither their data nor their
// ends are forwarded. New connections are not affected.
func (p *Proxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.isStalled.Store(true)
	}
}

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c.caller)
		reset(c.destination)
	}
}

// reset closes a connection with a TCP RST instead of a FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// SetLinger fails only on a closed connection, which needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve forwards one connection until both directions have ended.
func (p *Proxy) serve(caller net.Conn) {
	if p.currentFault() == Reset {
		reset(caller)
		return
	}
	destination, err := net.DialTimeout("tcp", p.destinationAddress, dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	c := &forwardedConn{caller: caller, destination: destination}
	p.track(c)
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		p.forward(c, destination, caller, false)
	}()
	go func() {
		defer directions.Done()
		p.forward(c, caller, destination, true)
	}()
	directions.Wait()
	p.closeConn(c)
}

// track adds a connection to conns.
func (p *Proxy) track(c *forwardedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

// closeConn closes a connection and removes it from conns.
func (p *Proxy) closeConn(c *forwardedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.caller.Close()
	_ = c.destination.Close()
}

// forward copies the data of c from one side to the other with the current fault, until
// reading or writing fails. toCaller is whether the data flows to the caller.
func (p *Proxy) forward(c *forwardedConn, to, from net.Conn, toCaller bool) {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		fault := p.currentFault()
		if n > 0 && fault == Delayed {
			time.Sleep(rand.N(maxDelay))
		}
		isDiscarded := c.isStalled.Load() || fault == Silent || fault == OneWay && toCaller
		if n > 0 && !isDiscarded {
			if _, err := to.Write(chunk[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if !c.isStalled.Load() {
				closeWrite(to)
			}
			return
		}
	}
}

// closeWrite sends a FIN, so that the peer reads the end of the stream.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection has already ended.
		_ = tcp.CloseWrite()
	}
}
