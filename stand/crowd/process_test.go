// Package crowd_test puts crowds of clients that do not keep to HTTP, or to the limits of
// the configuration, at the programs. Each test runs the programs as processes of their
// own, since it measures their memory and descriptors.
package crowd_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/fleet"
)

var (
	buildOnce  sync.Once
	programDir string
	errBuild   error
)

// TestMain removes the programs that build has built.
func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.RemoveAll(programDir)
	os.Exit(code)
}

// build builds the programs of the repository without the race detector, which multiplies
// their memory, and returns the path of one.
func build(t *testing.T, name string) string {
	t.Helper()
	buildOnce.Do(func() {
		if programDir, errBuild = os.MkdirTemp("", "crowd"); errBuild != nil {
			return
		}
		command := exec.Command("go", "build", "-o", programDir+string(filepath.Separator), "./platform", "./node", "./ggw", "./stand")
		command.Dir = filepath.Join("..", "..")
		if output, err := command.CombinedOutput(); err != nil {
			errBuild = fmt.Errorf("%w: %s", err, output)
		}
	})
	assert.NilError(t, errBuild)
	return filepath.Join(programDir, name)
}

// start starts a program. The test shows its output if it fails.
func start(t *testing.T, name, program string, args ...string) *fleet.Process {
	t.Helper()
	output := filepath.Join(t.TempDir(), name+".log")
	p, err := fleet.StartProcess(name, output, program, args...)
	assert.NilError(t, err)
	t.Cleanup(func() {
		p.Kill()
		text, err := os.ReadFile(output)
		if t.Failed() && err == nil {
			const shownBytes = 1 << 10
			t.Logf("the end of the output of %s:\n%s", name, text[max(0, len(text)-shownBytes):])
		}
	})
	return p
}

// usage is what a process uses.
type usage struct {
	// residentBytes is the memory of the process, unreadBytes what its connections have
	// received and it has not read.
	residentBytes, unreadBytes int64
	descriptors, sockets       int
}

// measure returns what a process uses now.
func measure(p *fleet.Process) (usage, error) {
	var u usage
	var err error
	if u.residentBytes, err = statusBytes(p, "VmRSS:"); err != nil {
		return u, err
	}
	inodes, descriptors, err := socketInodes(p)
	if err != nil {
		return u, err
	}
	u.descriptors, u.sockets = descriptors, len(inodes)
	u.unreadBytes, err = unreadBytes(inodes)
	return u, err
}

// peakResidentBytes returns the most memory that a process had in use so far.
func peakResidentBytes(p *fleet.Process) (int64, error) { return statusBytes(p, "VmHWM:") }

func procFile(p *fleet.Process, name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.PID), name)
}

// statusBytes returns a line of the status of a process, which is given in KB.
func statusBytes(p *fleet.Process, line string) (int64, error) {
	text, err := os.ReadFile(procFile(p, "status"))
	if err != nil {
		return 0, err
	}
	_, rest, _ := bytes.Cut(text, []byte(line))
	fields := strings.Fields(string(rest[:min(len(rest), 40)]))
	if len(fields) == 0 {
		return 0, fmt.Errorf("no line %s in the status of process %d", line, p.PID)
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10, err
}

// socketInodes returns the inodes of the sockets of a process, and the number of all its
// descriptors.
func socketInodes(p *fleet.Process) (map[string]bool, int, error) {
	entries, err := os.ReadDir(procFile(p, "fd"))
	if err != nil {
		return nil, 0, err
	}
	inodes := make(map[string]bool)
	for _, e := range entries {
		// A descriptor that was closed meanwhile has no link.
		link, _ := os.Readlink(procFile(p, filepath.Join("fd", e.Name())))
		if inode, isSocket := strings.CutPrefix(link, "socket:["); isSocket {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries), nil
}

// unreadBytes returns what the kernel holds for sockets that wait to be read.
func unreadBytes(inodes map[string]bool) (int64, error) {
	const queuesColumn, inodeColumn = 4, 9
	var sum int64
	for _, table := range []string{"/proc/net/tcp", "/proc/net/tcp6", "/proc/net/udp"} {
		text, err := os.ReadFile(table)
		if err != nil {
			return 0, err
		}
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line)
			const listening = "0A"
			if len(fields) <= inodeColumn || !inodes[fields[inodeColumn]] || fields[3] == listening {
				continue
			}
			_, received, _ := strings.Cut(fields[queuesColumn], ":")
			n, err := strconv.ParseInt(received, 16, 64)
			if err != nil {
				return 0, err
			}
			sum += n
		}
	}
	return sum, nil
}

// watch measures processes until stop is called, which returns the most that each of them
// used. The sum of resident and unread bytes counts, as on the VM of a node.
func watch(t *testing.T, processes []*fleet.Process) (stop func() []usage) {
	t.Helper()
	const interval = 50 * time.Millisecond
	most := make([]usage, len(processes))
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			for i, p := range processes {
				// A process that has ended fails the test at its end.
				if u, err := measure(p); err == nil {
					most[i] = larger(most[i], u)
				}
			}
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
		}
	})
	return func() []usage {
		close(done)
		watching.Wait()
		return most
	}
}

func larger(a, b usage) usage {
	if b.residentBytes+b.unreadBytes > a.residentBytes+a.unreadBytes {
		a.residentBytes, a.unreadBytes = b.residentBytes, b.unreadBytes
	}
	a.descriptors, a.sockets = max(a.descriptors, b.descriptors), max(a.sockets, b.sockets)
	return a
}
