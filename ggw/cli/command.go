// Package cli holds the types and helpers shared by the commands of ggw:
// dependencies, common flags, output formats and exit codes.
package cli

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
)

// Env holds the external dependencies of the commands.
type Env struct {
	Streams Streams
	Clock   gage.Clock
	// Random is the source of secret keys and apply IDs. It must be
	// cryptographically secure.
	Random io.Reader
	// Store returns a client of the store at the given URLs.
	Store      func(endpoints []string) gage.Store
	NodeClient NodeClient
}

// NodeClient calls the operator API of a node. The argument node is the
// host:port or URL of that API. Methods return an error when the node does not
// respond with status 200 and a valid body.
type NodeClient interface {
	Status(ctx context.Context, node string) (oper.Status, error)
	Explain(ctx context.Context, node, requestID string) (oper.Explanation, error)
	Apply(ctx context.Context, node string, request oper.ApplyRequest) (apply.Result, error)
}

// Parent is the kingpin application or a kingpin command under which commands are
// declared.
type Parent interface {
	Command(name, help string) *kingpin.CmdClause
}

// Command is a command that has been declared with kingpin.
type Command struct {
	// Name is the full name, such as "config apply".
	Name string
	// Run executes the command. It must be called after the arguments have been
	// parsed.
	Run func(ctx context.Context) error
}

// StoreFlag declares the required flag --store. The returned URLs are set once
// the arguments have been parsed.
func StoreFlag(clause *kingpin.CmdClause) *[]string {
	return clause.Flag("store", "URL of the configuration store; may be repeated").
		PlaceHolder("URL").Envar("GGW_STORE").Required().Strings()
}

// NodeFlag declares the required flag --node. The returned address is set once
// the arguments have been parsed.
func NodeFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("node", "address of the operator API of any node").
		PlaceHolder("URL").Envar("GGW_NODE").Required().String()
}

// JSONFlag declares the flag --json. The returned value is set once the
// arguments have been parsed.
func JSONFlag(clause *kingpin.CmdClause) *bool {
	return clause.Flag("json", "print JSON").Bool()
}
