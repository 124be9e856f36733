package broker_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/broker"
	"github.com/greengagewind/greengagewind/gage/state/bucket"
	"github.com/greengagewind/greengagewind/gage/state/ration"
)

const (
	workspace = "aurora"
	// viewInterval is the time between two updates of the nodes' views of the fleet. A
	// node counts as responsive for responsiveTime after it was last heard, and as
	// known for knownTime.
	viewInterval   = 200 * time.Millisecond
	responsiveTime = 900 * time.Millisecond
	knownTime      = 5 * time.Second
)

// fleet simulates nodes on a network with delays, in the fake time of synctest.
type fleet struct {
	mu     sync.Mutex
	random *rand.Rand
	limits map[string]ration.Limits
	nodes  []*node
	names  []string
	// allHeardAt is when every node last heard each other one.
	allHeardAt time.Time
	// loss is the probability that a datagram is lost, and duplication that it
	// arrives twice.
	loss, duplication float64
	// hearing is the probability that a state of a node is heard.
	hearing float64
	// isCut reports whether no datagrams pass between two nodes. It may be nil.
	isCut func(i, j int) bool
	// admitted holds the time of each admitted request by workspace.
	admitted map[string][]time.Time
	requests int
	refused  int
	waits    []time.Duration
	// callersReturn makes refused callers return. returned counts those who did, and
	// letIn those of them that were admitted then.
	callersReturn   bool
	returned, letIn int
	// perfect is one bucket with the limits of the workspace, which serves all
	// requests. perfectRefused counts those that it refuses.
	perfect        bucket.Bucket
	perfectRefused int
}

type node struct {
	vm     string
	broker *broker.Broker
	// isDown is true while the process does not run, isPaused while it is stopped.
	isDown, isPaused bool
	// heardAt is when this node last heard each other node, listedAt when it last
	// listed the nodes in the store.
	heardAt  []time.Time
	listedAt time.Time
	// backlog holds the deliveries to a paused process.
	backlog []func()
}

// clock is the fake clock of the test.
type clock struct{}

func (clock) Now() time.Time { return time.Now() }

func newFleet(seed uint64, nodes int, limits ration.Limits) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, seed)), limits: map[string]ration.Limits{workspace: limits},
		admitted: make(map[string][]time.Time),
		hearing:  1,
		perfect:  bucket.New(time.Now(), limits.Rate, limits.Burst),
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &node{vm: fmt.Sprintf("vm-%d", i), heardAt: make([]time.Time, nodes)})
		f.names = append(f.names, f.nodes[i].vm)
		f.start(i)
	}
	f.updateViews()
	return f
}

// start starts the process of node i, which knows nothing of earlier processes.
func (f *fleet) start(i int) {
	b := broker.New(time.Now(), broker.Options{
		Self: f.nodes[i].vm, Clock: clock{}, Random: f.randomBits,
		Send: func(vm string, r gage.TokenRequest) { f.sendRequest(i, vm, r) },
	})
	b.SetLimits(f.limits)
	f.change(func() { f.nodes[i].isDown, f.nodes[i].broker = false, b })
}

// change changes the faults and the nodes.
func (f *fleet) change(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// broker returns the broker of the present process of node i.
func (f *fleet) broker(i int) *broker.Broker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i].broker
}

func (f *fleet) randomBits() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Uint64()
}

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *fleet) sendRequest(from int, vm string, r gage.TokenRequest) {
	sender := f.broker(from)
	for to, n := range f.nodes {
		if n.vm == vm {
			f.deliver(from, to, func() {
				g := f.broker(to).HandleRequest(time.Now(), r)
				f.deliver(to, from, func() { sender.HandleGrant(g) })
			})
		}
	}
}

// deliver calls handle after the delay of the network, unless the datagram is lost.
func (f *fleet) deliver(from, to int, handle func()) {
	f.mu.Lock()
	loss, duplication, isCut := f.loss, f.duplication, f.isCut
	f.mu.Unlock()
	copies := 1
	if f.float() < duplication {
		copies = 2
	}
	for range copies {
		if f.float() < loss || (isCut != nil && isCut(from, to)) {
			continue
		}
		delay := time.Duration(200+1200*f.float()) * time.Microsecond
		time.AfterFunc(delay, func() {
			n := f.nodes[to]
			f.mu.Lock()
			isDown, isPaused := n.isDown, n.isPaused
			if isPaused {
				n.backlog = append(n.backlog, handle)
			}
			f.mu.Unlock()
			if !isDown && !isPaused {
				handle()
			}
		})
	}
}

// resume lets a paused process handle what has arrived meanwhile.
func (f *fleet) resume(i int) {
	n := f.nodes[i]
	f.mu.Lock()
	backlog := n.backlog
	n.isPaused, n.backlog = false, nil
	f.mu.Unlock()
	for _, handle := range backlog {
		handle()
	}
}

func (f *fleet) updateViews() {
	now := time.Now()
	if f.isCalm() {
		f.allHeardAt = now
		for _, n := range f.nodes {
			n.broker.SetFleet(now, f.names, 1)
		}
		return
	}
	for i, n := range f.nodes {
		if n.isDown || n.isPaused {
			continue
		}
		var members []string
		known := 0
		for j, other := range f.nodes {
			isHeard := i == j || f.hearing == 1 || f.float() < f.hearing
			if isHeard && !other.isDown && !other.isPaused && (i == j || f.isCut == nil || !f.isCut(j, i)) {
				n.heardAt[j] = now
			}
			heardAt := n.heardAt[j]
			if n.listedAt.Before(f.allHeardAt) && f.allHeardAt.After(heardAt) {
				heardAt = f.allHeardAt
			}
			if now.Sub(heardAt) < responsiveTime {
				members = append(members, other.vm)
			}
			if now.Sub(heardAt) < knownTime || now.Sub(n.listedAt) < knownTime {
				known++
			}
		}
		n.broker.SetFleet(now, members, float64(len(members))/float64(known))
	}
}

// isCalm reports whether every node hears each other one.
func (f *fleet) isCalm() bool {
	for _, n := range f.nodes {
		if n.isDown || n.isPaused {
			return false
		}
	}
	return f.hearing == 1 && f.isCut == nil
}

// run simulates the time d, in which node i receives requestsPerSecond(i) requests a
// second of the workspace, in random intervals.
func (f *fleet) run(d time.Duration, requestsPerSecond func(i int) float64) {
	total := 0.0
	for i := range f.nodes {
		total += requestsPerSecond(i)
	}
	var searches sync.WaitGroup
	end, nextViews := time.Now().Add(d), time.Now()
	nextRequest := f.nextRequest(total)
	for time.Now().Before(end) {
		now := time.Now()
		if !now.Before(nextViews) {
			f.updateViews()
			nextViews = now.Add(viewInterval)
		}
		if !now.Before(nextRequest) {
			nextRequest = f.nextRequest(total)
			if n := f.pickNode(total, requestsPerSecond); !n.isDown && !n.isPaused {
				searches.Go(func() { f.serve(n) })
			}
		}
		next := end
		for _, t := range []time.Time{nextViews, nextRequest} {
			if t.Before(next) {
				next = t
			}
		}
		time.Sleep(time.Until(next))
	}
	searches.Wait()
}

// serve sends a request to a node. If it is refused and callersReturn is set, the caller
// returns once at the time that it was told, unless that is late.
func (f *fleet) serve(n *node) {
	result := f.request(n, workspace, false)
	if !f.callersReturn || result.Reason != gage.ReasonOverRate || result.Wait > latestReturn {
		return
	}
	const delay = 16 * time.Millisecond
	time.Sleep(result.Wait + delay)
	again := f.request(n, workspace, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returned++
	if again.Reason == gage.ReasonNone {
		f.letIn++
	}
}

// latestReturn is the longest wait after which callers return.
const latestReturn = 1500 * time.Millisecond

// nextRequest returns the time of the next of total requests a second.
func (f *fleet) nextRequest(total float64) time.Time {
	if total <= 0 {
		return time.Now().Add(time.Hour)
	}
	return time.Now().Add(time.Duration(-math.Log(1-f.float()) / total * float64(time.Second)))
}

// pickNode returns the node that receives the next of total requests a second.
func (f *fleet) pickNode(total float64, requestsPerSecond func(i int) float64) *node {
	rest := f.float() * total
	for i, n := range f.nodes {
		if rest -= requestsPerSecond(i); rest < 0 {
			return n
		}
	}
	return f.nodes[len(f.nodes)-1]
}

// request sends one request and returns its result.
func (f *fleet) request(n *node, workspace string, isReturning bool) broker.Result {
	now := time.Now()
	result := n.broker.Acquire(context.Background(), now, now.Add(100*time.Millisecond), workspace, isReturning)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	if f.perfect.Take(now, 1) == 0 {
		f.perfectRefused++
	}
	f.waits = append(f.waits, time.Since(now))
	if result.Reason != gage.ReasonNone {
		f.refused++
		return result
	}
	f.admitted[workspace] = append(f.admitted[workspace], time.Now())
	return result
}

// The deployments allow in any window the rate and the burst, plus 10 % and 20
// requests.
const window = 5 * time.Second

func allowed(limits ration.Limits) int {
	return int((limits.Rate*window.Seconds()+limits.Burst)*1.1 + 20)
}

// maxAdmitted returns the largest number of admitted requests in any window.
func (f *fleet) maxAdmitted() int {
	times := f.admitted[workspace]
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, from := 0, 0
	for to := range times {
		for times[to].Sub(times[from]) >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func (f *fleet) assertWithinLimits(t assert.TestingT) {
	limits := f.limits[workspace]
	assert.Assert(t, f.maxAdmitted() <= allowed(limits), "%d admitted in a window, %d allowed", f.maxAdmitted(), allowed(limits))
}

// simulate runs body in fake time.
func simulate(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, body)
}

func atAll(rate float64) func(int) float64 { return func(int) float64 { return rate } }

// A workspace whose requests are spread over many nodes, so that each node receives
// few of them, is served within its rate.
func TestWorkspaceWithinItsRateIsServed(t *testing.T) {
	cases := []struct {
		nodes, entries int
		limits         ration.Limits
		length         time.Duration
	}{
		{2, 2, ration.Limits{Rate: 20, Burst: 20}, 2 * time.Minute},
		{15, 4, ration.Limits{Rate: 100, Burst: 100}, time.Minute},
		{95, 95, ration.Limits{Rate: 8, Burst: 16}, 4 * time.Minute},
		{95, 4, ration.Limits{Rate: 8, Burst: 16}, 4 * time.Minute},
		{30, 4, ration.Limits{Rate: 2, Burst: 10}, 15 * time.Minute},
		{95, 95, ration.Limits{Rate: 200, Burst: 200}, 30 * time.Second},
		{300, 300, ration.Limits{Rate: 40, Burst: 40}, time.Minute},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d nodes, %d of them with requests, rate %g", c.nodes, c.entries, c.limits.Rate), func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				f := newFleet(1, c.nodes, c.limits)
				f.run(3*time.Second, atAll(0))
				f.run(c.length, func(i int) float64 {
					if i >= c.entries {
						return 0
					}
					return c.limits.Rate / 1.6 / float64(c.entries)
				})
				t.Logf("%d of %d requests refused, %d by a single bucket", f.refused, f.requests, f.perfectRefused)
				assert.Assert(t, f.refused <= f.perfectRefused+f.requests/1000, "%d of %d requests refused", f.refused, f.requests)
				sort.Slice(f.waits, func(i, j int) bool { return f.waits[i] < f.waits[j] })
				assert.Assert(t, f.waits[len(f.waits)*99/100] < 10*time.Millisecond, "%s at the 99th percentile", f.waits[len(f.waits)*99/100])
				f.assertWithinLimits(t)
			})
		})
	}
}

// All callers of a workspace send at once after an idle period, four times as much as
// its rate.
func TestDemandBeyondTheRateIsLimited(t *testing.T) {
	for _, nodes := range []int{1, 2, 15, 95} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				limits := ration.Limits{Rate: 100, Burst: 100}
				f := newFleet(2, nodes, limits)
				f.run(8*time.Second, atAll(0))
				f.run(10*time.Second, atAll(4*limits.Rate/float64(nodes)))
				admitted := len(f.admitted[workspace])
				assert.Assert(t, admitted <= int(limits.Rate*10.5+limits.Burst), "%d admitted in 10 s", admitted)
				assert.Assert(t, admitted >= int(0.95*limits.Rate*10), "%d admitted in 10 s", admitted)
				f.assertWithinLimits(t)
			})
		})
	}
}

// The demand of a workspace moves from node to node.
func TestDemandMovingBetweenNodesStaysWithinTheLimits(t *testing.T) {
	simulate(t, func(t *testing.T) {
		const nodes = 15
		limits := ration.Limits{Rate: 100, Burst: 100}
		f := newFleet(9, nodes, limits)
		for busy := range nodes {
			f.run(1300*time.Millisecond, func(i int) float64 {
				if i == busy {
					return 4 * limits.Rate
				}
				return 0
			})
		}
		f.assertWithinLimits(t)
		admitted := len(f.admitted[workspace])
		assert.Assert(t, float64(admitted) >= 0.95*limits.Rate*1.3*nodes, "%d admitted", admitted)
	})
}

// All callers of a workspace start sending at once after an idle period, and triple
// their rate a second later, so that the burst and the growth add up.
func TestSimultaneousCallersStayWithinTheLimits(t *testing.T) {
	for seed := range uint64(60) {
		simulate(t, func(t *testing.T) {
			const nodes = 15
			limits := ration.Limits{Rate: 100, Burst: 100}
			f := newFleet(seed, nodes, limits)
			f.run(8*time.Second, atAll(0))
			f.run(time.Second, atAll(1.1*limits.Rate/nodes))
			f.run(8*time.Second, atAll(3.5*limits.Rate/nodes))
			f.assertWithinLimits(t)
			admitted := len(f.admitted[workspace])
			assert.Assert(t, float64(admitted) >= 0.97*limits.Rate*9, "%d admitted in 9 s, seed %d", admitted, seed)
		})
	}
}

// Two requests a second of a workspace with a rate of 100,000 are never refused.
func TestDemandFarWithinTheRateIsNeverRefused(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newFleet(10, 9, ration.Limits{Rate: 100_000, Burst: 100_000})
		f.run(time.Minute, atAll(2.0/9))
		assert.Equal(t, f.refused, 0)
	})
}

// All nodes start while the store rejects their registration, so that no node knows
// of any other. Each of them issues its part of the rate.
func TestNodesThatHaveNotListedTheOthersKeepToTheirPart(t *testing.T) {
	simulate(t, func(t *testing.T) {
		const nodes, length = 9, 10 * time.Second
		limits := ration.Limits{Rate: 100, Burst: 100}
		f := newFleet(11, nodes, limits)
		f.change(func() { f.isCut = func(i, j int) bool { return i != j } })
		for i, n := range f.nodes {
			f.start(i)
			n.broker.SetFleet(time.Now(), []string{n.vm}, 1.0/nodes)
			for j := range f.nodes {
				n.heardAt[j] = time.Now()
			}
		}
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, n := range f.nodes {
				f.request(n, workspace, false)
			}
		}
		admitted := len(f.admitted[workspace])
		assert.Assert(t, admitted <= int(limits.Rate*length.Seconds()+limits.Burst)*11/10+20, "%d admitted", admitted)
		assert.Assert(t, admitted >= int(limits.Rate*length.Seconds())/2, "%d admitted", admitted)
	})
}

// A caller who returns at the time it was told is let in, although many more new
// requests arrive than there are tokens.
func TestReturningCallersAreLetIn(t *testing.T) {
	for _, nodes := range []int{1, 20} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				limits := ration.Limits{Rate: 50, Burst: 50}
				f := newFleet(3, nodes, limits)
				f.callersReturn = true
				f.run(20*time.Second, atAll(3*limits.Rate/float64(nodes)))
				assert.Assert(t, f.returned >= int(0.2*limits.Rate*20), "%d were told to return", f.returned)
				assert.Assert(t, f.letIn >= f.returned*9/10, "%d of %d returning callers let in", f.letIn, f.returned)
				f.assertWithinLimits(t)
			})
		})
	}
}

// The limits hold while nodes are killed and restarted, paused, or cut off from each
// other, and while datagrams are lost or doubled, with demand far above the rate.
func TestLimitsHoldUnderFaults(t *testing.T) {
	limits := ration.Limits{Rate: 60, Burst: 60}
	const nodes = 12
	faults := map[string]func(f *fleet){
		"lost and doubled datagrams": func(f *fleet) { f.loss, f.duplication = 0.3, 0.3 },
		"half cut off":               func(f *fleet) { f.isCut = func(i, j int) bool { return (i < nodes/2) != (j < nodes/2) } },
		"one cut off":                func(f *fleet) { f.isCut = func(i, j int) bool { return (i == 0) != (j == 0) } },
		"all cut off from each other": func(f *fleet) {
			f.isCut = func(i, j int) bool { return i != j }
		},
		"a third killed": func(f *fleet) {
			for i := range nodes / 3 {
				f.nodes[i].isDown = true
			}
		},
		"a third paused": func(f *fleet) {
			for i := range nodes / 3 {
				f.nodes[i].isPaused = true
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				f := newFleet(4, nodes, limits)
				demand := atAll(3 * limits.Rate / nodes)
				f.run(6*time.Second, atAll(0.5*limits.Rate/nodes))
				f.run(time.Second, demand)
				f.change(func() { fault(f) })
				f.run(4*time.Second, demand)
				f.change(func() { f.loss, f.duplication, f.isCut = 0, 0, nil })
				for i, n := range f.nodes {
					if n.isDown {
						f.start(i)
					}
					if n.isPaused {
						f.resume(i)
					}
				}
				f.run(6*time.Second, demand)
				f.assertWithinLimits(t)
			})
		})
	}
}

func TestLimitsHoldAfterAllWereRestarted(t *testing.T) {
	for _, down := range []time.Duration{0, time.Second} {
		simulate(t, func(t *testing.T) {
			const nodes = 12
			limits := ration.Limits{Rate: 60, Burst: 60}
			f := newFleet(4, nodes, limits)
			f.run(6*time.Second, atAll(0.5*limits.Rate/nodes))
			f.run(time.Second, atAll(3*limits.Rate/nodes))
			time.Sleep(down)
			for i := range f.nodes {
				f.start(i)
			}
			f.run(10*time.Second, atAll(3*limits.Rate/nodes))
			f.assertWithinLimits(t)
		})
	}
}

// While an issuer is lost, the others issue most of the rate.
func TestMostRequestsAreServedWhileAnIssuerIsLost(t *testing.T) {
	simulate(t, func(t *testing.T) {
		const nodes = 30
		limits := ration.Limits{Rate: 60, Burst: 60}
		f := newFleet(5, nodes, limits)
		demand := atAll(limits.Rate / 1.6 / nodes)
		f.run(5*time.Second, demand)
		f.requests, f.refused = 0, 0
		f.change(func() {
			for i := range nodes / 10 {
				f.nodes[(7*i)%nodes].isDown = true
			}
		})
		f.run(3*time.Second, demand)
		assert.Assert(t, f.refused <= f.requests/50, "%d of %d requests refused", f.refused, f.requests)
	})
}

// A token expires although the process was paused between the answer and the request.
func TestTokenOfAPausedProcessExpires(t *testing.T) {
	simulate(t, func(t *testing.T) {
		limits := ration.Limits{Rate: 1, Burst: 4}
		f := newFleet(6, 1, limits)
		time.Sleep(5 * time.Second)
		n := f.nodes[0]
		result := f.request(n, workspace, false)
		assert.Equal(t, result.Reason, gage.ReasonNone)
		time.Sleep(ration.TokenLifetime)
		n.broker.PutBack(time.Now(), workspace, result.ExpiresAt)
		n.broker.SetLimits(map[string]ration.Limits{workspace: {Rate: 0, Burst: 1}})
		for range 4 {
			f.request(n, workspace, false)
		}
		// The issuer still holds one token.
		assert.Assert(t, len(f.admitted[workspace]) <= 2, "%d admitted", len(f.admitted[workspace]))
	})
}

// All nodes are killed while a workspace sends far more than its rate. When they have
// restarted, they find each other in the store and hear of each other one by one.
func TestLimitsHoldWhileRestartedNodesFindEachOther(t *testing.T) {
	simulate(t, func(t *testing.T) {
		const nodes = 95
		limits := ration.Limits{Rate: 85, Burst: 85}
		f := newFleet(12, nodes, limits)
		f.run(6*time.Second, atAll(0.5*limits.Rate/nodes))
		f.run(3500*time.Millisecond, atAll(3*limits.Rate/nodes))
		for i, n := range f.nodes {
			f.start(i)
			n.heardAt, n.listedAt = make([]time.Time, nodes), time.Now()
		}
		f.hearing = 0
		f.run(500*time.Millisecond, atAll(3*limits.Rate/nodes))
		f.hearing = 0.1
		f.run(1500*time.Millisecond, atAll(3*limits.Rate/nodes))
		f.hearing = 1
		f.run(4*time.Second, atAll(3*limits.Rate/nodes))
		f.assertWithinLimits(t)
	})
}

// After all nodes were restarted, a workspace within its rate is served as soon as the
// nodes have found each other.
func TestRestartedFleetServesSoon(t *testing.T) {
	for _, limits := range []ration.Limits{{Rate: 85, Burst: 93}, {Rate: 240, Burst: 248}, {Rate: 4, Burst: 12}} {
		t.Run(fmt.Sprintf("rate %g", limits.Rate), func(t *testing.T) {
			requests, refused := 0, 0
			for seed := range uint64(20) {
				simulate(t, func(t *testing.T) {
					const nodes = 60
					f := newFleet(seed, nodes, limits)
					demand := atAll(0.6 * limits.Rate / nodes)
					f.run(4*time.Second, demand)
					for i, n := range f.nodes {
						f.start(i)
						n.heardAt, n.listedAt = make([]time.Time, nodes), time.Now()
					}
					f.hearing = 0
					f.run(200*time.Millisecond, demand)
					f.hearing = 0.6
					f.run(400*time.Millisecond, demand)
					f.hearing, f.requests, f.refused = 1, 0, 0
					f.run(2*time.Second, demand)
					f.assertWithinLimits(t)
					requests, refused = requests+f.requests, refused+f.refused
				})
			}
			t.Logf("%d of %d requests refused", refused, requests)
			assert.Assert(t, refused <= requests/50, "%d of %d requests refused", refused, requests)
		})
	}
}

func TestUnknownWorkspacesAreNotLimited(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newFleet(7, 2, ration.Limits{Rate: 1, Burst: 1})
		for range 100 {
			assert.Equal(t, f.request(f.nodes[0], "other", false).Reason, gage.ReasonNone)
		}
	})
}

// A process that has just started, and knows its configuration but nothing of the fleet,
// must not issue the whole rate to itself.
func TestNothingIsIssuedBeforeTheFleetIsKnown(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newFleet(13, 1, ration.Limits{Rate: 100, Burst: 100})
		f.start(0)
		for range 50 {
			assert.Equal(t, f.request(f.nodes[0], workspace, false).Reason, gage.ReasonOverRate)
		}
		f.updateViews()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.request(f.nodes[0], workspace, false).Reason, gage.ReasonNone)
	})
}

// A request ends without a token when no issuer answers.
func TestNoIssuerAnswers(t *testing.T) {
	simulate(t, func(t *testing.T) {
		f := newFleet(8, 9, ration.Limits{Rate: 100, Burst: 100})
		f.change(func() { f.isCut = func(i, j int) bool { return i != j } })
		unavailable := 0
		for _, n := range f.nodes {
			start := time.Now()
			if f.request(n, workspace, false).Reason == gage.ReasonQuotaUnavailable {
				unavailable++
				assert.Assert(t, time.Since(start) < 100*time.Millisecond)
			}
		}
		assert.Assert(t, unavailable > 0 && unavailable < len(f.nodes), "%d of %d nodes have no issuer", unavailable, len(f.nodes))
	})
}

// Grants that nobody asked for, and grants of more than was asked for, create no
// tokens.
func TestForgedGrantsCreateNoTokens(t *testing.T) {
	simulate(t, func(t *testing.T) {
		b := broker.New(time.Now(), broker.Options{Self: "vm-0", Clock: clock{}, Random: func() uint64 { return 1 }, Send: func(string, gage.TokenRequest) {}})
		b.SetLimits(map[string]ration.Limits{workspace: {Rate: 0, Burst: 1}})
		for id := range uint64(10) {
			b.HandleGrant(gage.TokenGrant{ID: id, Status: gage.TokensGranted, Count: 1000})
		}
		admitted := 0
		for range 10 {
			if now := time.Now(); b.Acquire(t.Context(), now, now.Add(time.Second), workspace, false).Reason == gage.ReasonNone {
				admitted++
			}
		}
		assert.Assert(t, admitted <= 1, "%d admitted", admitted)
	})
}

func TestAnyDemandStaysWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		nodes := rapid.IntRange(1, 10).Draw(r, "nodes")
		limits := ration.Limits{Rate: rapid.SampledFrom([]float64{2, 20, 80}).Draw(r, "rate"), Burst: rapid.SampledFrom([]float64{1, 5, 80}).Draw(r, "burst")}
		seed := rapid.Uint64().Draw(r, "seed")
		type phase struct {
			demand []float64
			length time.Duration
			loss   float64
			cut    int
			kill   int
		}
		var phases []phase
		for range 4 {
			p := phase{length: time.Duration(rapid.IntRange(1, 25).Draw(r, "length")) * 100 * time.Millisecond}
			for range nodes {
				p.demand = append(p.demand, rapid.SampledFrom([]float64{0, 0, 1, 10, 60, 200}).Draw(r, "demand"))
			}
			p.loss = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(r, "loss")
			p.cut, p.kill = rapid.IntRange(0, nodes).Draw(r, "cut"), rapid.IntRange(-3, nodes-1).Draw(r, "kill")
			phases = append(phases, p)
		}
		var most int
		synctest.Test(t, func(*testing.T) {
			f := newFleet(seed, nodes, limits)
			for _, p := range phases {
				f.change(func() { f.loss, f.isCut = p.loss, func(i, j int) bool { return (i < p.cut) != (j < p.cut) } })
				if p.kill >= 0 {
					f.start(p.kill)
				}
				f.run(p.length, func(i int) float64 { return p.demand[i] })
			}
			most = f.maxAdmitted()
		})
		if most > allowed(limits) {
			r.Fatalf("%d admitted in a window, %d allowed", most, allowed(limits))
		}
	})
}
