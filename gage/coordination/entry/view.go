package entry

import (
	"sync/atomic"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/keys"
	"github.com/greengagewind/greengagewind/gage/state/match"
)

// View is one configuration with the lookup tables built from it. It is
// immutable.
type View struct {
	Config gage.Config
	Keys   *keys.Table
	Routes *match.Table
}

// NewView returns the view of a configuration.
func NewView(config gage.Config) *View {
	return &View{
		Config: config,
		Keys:   keys.New(config),
		Routes: match.New(config),
	}
}

// Views holds the active view. It is safe for concurrent use.
type Views struct {
	current atomic.Pointer[View]
}

// Set replaces the active view.
func (v *Views) Set(view *View) {
	v.current.Store(view)
}

// Get returns the active view, or nil if Set has not been called.
func (v *Views) Get() *View {
	return v.current.Load()
}
