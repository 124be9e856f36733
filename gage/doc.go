// Package gage defines the interfaces and data types that the layers of
// greengagewind share. The layers are its subdirectories: transport reads the
// clock and does network I/O over HTTP and gRPC, protocol defines message
// formats, coordination implements the protocols between nodes, and state
// implements decisions without I/O. In this order, a layer imports only the
// layers after it.
package gage
