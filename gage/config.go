package gage

import "time"

// Config is the content of one valid configuration file. It must not be
// modified once built.
type Config struct {
	// Generation is the store revision at which the configuration file was
	// written. It increases with each write; 0 means that there is no
	// configuration yet.
	Generation int64
	// Deployment is the name of the installation.
	Deployment string
	// Workspaces have unique names.
	Workspaces []Workspace
	// Services have unique names; every route names one of them.
	Services []Service
	// Routes have unique names. The longest matching path prefix wins.
	Routes []Route
	// Zones have unique names. A zone that is not listed is in service.
	Zones []Zone
	// Targets have unique names. A target that is not listed is in service.
	Targets []Target
	// Limits apply to requests of callers.
	Limits Limits
}

// Limits bounds the requests of callers. A field of 0 sets no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a caller may take to send a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle between
	// requests.
	IdleTimeout time.Duration
}

// Workspace is one tenant, a customer of the system.
type Workspace struct {
	Name string
	// KeyDigests are the digests of the workspace's API keys, each "sha256:"
	// followed by 64 lower-case hexadecimal digits. No two workspaces share a
	// digest.
	KeyDigests []string
	// Rate is the fleet-wide rate limit in requests per second, above 0.
	Rate float64
	// Burst is the fleet-wide token bucket size in requests, at least 2.
	Burst float64
	// Unlimited exempts the workspace from rate limiting; Rate and Burst are
	// ignored.
	Unlimited bool
	// Rank overrides the route's Rank if HasRank is set.
	Rank    int
	HasRank bool
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConcurrency caps the concurrency of each target. If it is 0, only the
	// adaptive limit applies.
	MaxConcurrency int
	// ColdStart is how long the concurrency limit of a newly announced target
	// stays at ColdConcurrency. Afterwards the limit is raised.
	ColdStart time.Duration
	// ColdConcurrency is the concurrency limit of a cold target, at least 1.
	ColdConcurrency int
	// ColdRate is the rate limit of a cold target in requests per second; 0
	// means no limit.
	ColdRate float64
	// MaxConnections caps the connections to each target; 0 means no cap.
	MaxConnections int
	// HealthPath is the path of the targets' health endpoint, or "".
	HealthPath string
}

// Route maps requests to a service.
type Route struct {
	Name string
	// Method is an HTTP method in upper case, or "" for any.
	Method string
	// PathPrefix starts with a slash and matches whole path segments only.
	PathPrefix string
	// Service is the Name of a Service.
	Service    string
	Importance Importance
	// Idempotent says that requests may be retried after an unknown outcome.
	Idempotent bool
	// Open says that requests need no API key. They belong to no workspace.
	Open bool
	// Internal says that the route accepts only nested calls of targets.
	Internal bool
	// Deadline is the maximum duration of a request, above 0.
	Deadline time.Duration
	// Host is the host name that a request must have, or "" for any.
	Host string
	// Rank is the priority of requests under overload: 0 is served first.
	Rank int
	// Objective is the latency objective: a later answer is of less value to
	// the caller. 0 means that the route has none.
	Objective time.Duration
	// MaxAttempts is the maximum number of targets that one request is sent
	// to, at least 1. The value 0 means that only the retry budget limits this
	// number.
	MaxAttempts int
	// Refusal is why all requests of the route are refused, or "" if they are
	// served.
	Refusal string
	// Splits divides the route's requests between services by weight. If it
	// is empty, all requests go to Service.
	Splits []Split
}

// Split sends a part of a route's requests to one service.
type Split struct {
	// Service is the Name of a Service.
	Service string
	// Weight is relative to the sum of the weights of the route's splits, at
	// least 0.
	Weight float64
}

// Zone is an availability zone as the operators configured it.
type Zone struct {
	Name      string
	InService bool
}

// Target is a back end as the operators configured it.
type Target struct {
	Name      string
	InService bool
}
