package conf

// document is a decoded configuration file before validation. Values have the type
// any, so that the parser can report those of a wrong type.
type document struct {
	Deployment any
	Workspace  []workspace
	Service    []service
	Route      []route
	Zone       []zone
	Target     []target
}

type workspace struct {
	Name       any
	KeyDigests any
	Rate       any
	Burst      any
}

type service struct {
	Name            any
	MaxConcurrency  any
	ColdStart       any
	ColdConcurrency any
}

type route struct {
	Name       any
	Method     any
	PathPrefix any
	Service    any
	Importance any
	Idempotent any
	Open       any
	Internal   any
	Deadline   any
}

type zone struct {
	Name      any
	InService any
}

type target struct {
	Name      any
	InService any
}
