package root_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	coordapply "github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
	"github.com/greengagewind/greengagewind/ggw/cli"
	"github.com/greengagewind/greengagewind/ggw/root"
)

// fakeStore is an in-memory store that holds only the configuration key.
type fakeStore struct {
	gage.Store
	entry gage.Entry
	// isDown makes every call fail.
	isDown bool
	// repliesToLose is the number of further swaps that take effect but return an
	// error.
	repliesToLose int
	// downAfterLostReply makes the store go down as soon as a reply has been lost
	// (see repliesToLose).
	downAfterLostReply bool
	// concurrentWrite, unless nil, is written just before the next swap, as if
	// another operator had written it.
	concurrentWrite []byte
}

var errDown = errors.New("store is down")

func (f *fakeStore) Get(_ context.Context, key string) (gage.Entry, error) {
	if f.isDown {
		return gage.Entry{}, errDown
	}
	if key != gage.StoreConfigKey {
		return gage.Entry{Key: key}, nil
	}
	return f.entry, nil
}

func (f *fakeStore) Swap(_ context.Context, key string, revision int64, value []byte, _ gage.LeaseID) (gage.Entry, bool, error) {
	if f.isDown {
		return gage.Entry{}, false, errDown
	}
	if f.concurrentWrite != nil {
		f.write(key, f.concurrentWrite)
		f.concurrentWrite = nil
	}
	if f.entry.Revision != revision {
		return f.entry, false, nil
	}
	f.write(key, value)
	if f.repliesToLose > 0 {
		f.repliesToLose--
		f.isDown = f.downAfterLostReply
		return gage.Entry{}, false, errDown
	}
	return f.entry, true, nil
}

func (f *fakeStore) write(key string, value []byte) {
	f.entry = gage.Entry{Key: key, Value: value, Revision: f.entry.Revision + 1}
}

// fakeNodeClient returns prepared replies of nodes.
type fakeNodeClient struct {
	status oper.Status
	// explanations maps the address of a node to its reply to Explain. A node
	// without an entry refuses the connection.
	explanations map[string]oper.Explanation
	// calledNodes lists the addresses passed to Explain and Apply.
	calledNodes []string
	// store is the store that Apply writes to. If it is nil, Apply fails.
	store gage.Store
	// outcomeUnknown makes Apply report an unknown outcome after it has applied
	// the file.
	outcomeUnknown bool
}

func (f *fakeNodeClient) Status(_ context.Context, node string) (oper.Status, error) {
	if node != "10.0.0.1:7004" {
		return oper.Status{}, errors.New("call node " + node + ": connection refused")
	}
	return f.status, nil
}

func (f *fakeNodeClient) Explain(_ context.Context, node, _ string) (oper.Explanation, error) {
	f.calledNodes = append(f.calledNodes, node)
	explanation, ok := f.explanations[node]
	if !ok {
		return oper.Explanation{}, errors.New("call node " + node + ": connection refused")
	}
	return explanation, nil
}

// Apply applies the file to f.store, as a node does.
func (f *fakeNodeClient) Apply(ctx context.Context, node string, r oper.ApplyRequest) (coordapply.Result, error) {
	f.calledNodes = append(f.calledNodes, node)
	if f.store == nil {
		return coordapply.Result{}, errors.New("call node " + node + ": connection refused")
	}
	result := coordapply.Run(ctx, f.store, r.File, r.Base, r.ID)
	if f.outcomeUnknown {
		return coordapply.Result{Outcome: coordapply.Unknown}, nil
	}
	return result, nil
}

type fixedClock struct{}

func (fixedClock) Now() time.Time {
	return time.UnixMilli(1_000_000)
}

// harness runs ggw commands against a fake store and fake nodes.
type harness struct {
	store          *fakeStore
	nodeClient     *fakeNodeClient
	isTerminal     bool
	random         io.Reader
	stdout, stderr bytes.Buffer
}

func newHarness() *harness {
	return &harness{store: &fakeStore{}, nodeClient: &fakeNodeClient{}, random: rand.NewChaCha8([32]byte{})}
}

// run executes a command and returns its exit code. Afterwards stdout and stderr hold
// the output of this command only.
func (h *harness) run(args ...string) int {
	return h.runWithInput("", args...)
}

func (h *harness) runWithInput(stdin string, args ...string) int {
	h.stdout.Reset()
	h.stderr.Reset()
	return root.Run(context.Background(), args, cli.Env{
		Streams:    cli.Streams{In: strings.NewReader(stdin), Out: &h.stdout, Err: &h.stderr, IsTerminal: h.isTerminal},
		Clock:      fixedClock{},
		Random:     h.random,
		Store:      func([]string) gage.Store { return h.store },
		NodeClient: h.nodeClient,
	})
}

const exampleConfig = `Deployment = "test"
[[Workspace]]
Name = "aurora"
Rate = 10
Burst = 5
[[Service]]
Name = "search"
[[Route]]
Name = "search"
PathPrefix = "/search"
Service = "search"
Importance = "Normal"
Deadline = "2s"
`

// writeConfig writes text to test.toml in a temporary directory and returns its
// path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "test.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
