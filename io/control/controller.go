package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/config"
	"dotterelgw/core/freshness"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/io/observe"
	"dotterelgw/io/peer"
)

const (
	// exchangePeriod is the time between heartbeats to a partner.
	exchangePeriod = 500 * time.Millisecond
	// exchangeTimeout bounds one heartbeat; a later answer would not count.
	exchangeTimeout = freshness.AnswerWindow
	// listPeriod is the time between reads of the VM list.
	listPeriod = time.Second
	// loadTimeout bounds each question by which a starting VM asks a peer for the entries.
	loadTimeout = 300 * time.Millisecond
	// loadAttempts is the number of peers asked before the VM turns to the service, if it is a relay.
	loadAttempts = 3
	// substituteAfter is the age of the confirmation above which a VM of a large fleet also asks relays of other zones;
	// it is above the 1 s that a confirmation takes through a relay.
	substituteAfter = 1200 * time.Millisecond
	// reachableWindow is the age of the service's last confirmation up to which the service counts as reachable. Other
	// answers do not count: a VM that only writes confirms nobody, and must not keep a majority from standing in.
	reachableWindow = time.Second
)

// Controller implements Control. Run must be running for it to do anything.
type Controller struct {
	self     member.Member
	store    Store
	list     VMList
	dialer   peer.Dialer
	logger   log.Logger
	reach    func(ids.VMID) bool
	clock    clock
	measures *measures
	kick     chan ids.VMID
	stopped  sync.WaitGroup

	// Published for the data path.
	admitUntil atomic.Int64
	contracts  atomic.Pointer[contracts]
	members    atomic.Pointer[[]member.Member]
	leaving    atomic.Pointer[map[ids.BackendServerID]struct{}]
	revision   atomic.Int64

	mutex     sync.Mutex
	entries   *config.Store
	view      *member.View
	freshness *freshness.Freshness
	peers     map[ids.VMID]*peerState
	answered  time.Duration // when the service last confirmed
	draining  bool
	listed    bool // the VM list says that this VM is leaving
	relay     context.CancelFunc
	// admitted is what the last tick saw, for the log.
	admitted bool
	// triedMajority is when answers were last counted during an outage.
	triedMajority time.Duration

	changes changes
}

// peerState is what the controller keeps of one peer between heartbeats.
type peerState struct {
	// pending states that a question is under way.
	pending bool
	// revision is the highest revision that the peer has shown.
	revision ids.Revision
	// wantAll asks the peer for every entry, after digests differed at equal revision.
	wantAll bool
}

// New returns the controller of the VM.
func New(self member.Member, store Store, list VMList, dialer peer.Dialer, options ...Option) *Controller {
	controller := &Controller{
		self: self, store: store, list: list, dialer: dialer,
		logger:   log.NewNopLogger(),
		reach:    func(ids.VMID) bool { return true },
		clock:    clock{origin: time.Now(), speed: 1},
		kick:     make(chan ids.VMID, 64),
		entries:  config.NewStore(),
		measures: newMeasures(metrics.NewRegistry()),
		peers:    map[ids.VMID]*peerState{},
	}
	for _, option := range options {
		option(controller)
	}
	controller.logger = observe.Part(controller.logger, "control")
	now := controller.clock.now()
	controller.view = member.NewView(self, now)
	controller.freshness = freshness.New(self.ID, now)
	controller.answered = now - 2*reachableWindow
	controller.admitUntil.Store(-1)
	controller.contracts.Store(&contracts{})
	controller.members.Store(&[]member.Member{})
	controller.leaving.Store(&map[ids.BackendServerID]struct{}{})
	controller.changes.ready = make(chan struct{}, 1)
	return controller
}

// Run keeps the controller up to date until the context ends.
func (controller *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		controller.stopped.Wait()
	}()
	controller.start(func() { controller.changes.deliver(ctx) })
	controller.readList(ctx)
	controller.load(ctx)
	controller.start(func() {
		controller.every(ctx, listPeriod, func() { controller.readList(ctx) })
	})
	ticker := time.NewTicker(controller.clock.real(exchangePeriod))
	defer ticker.Stop()
	controller.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			controller.tick(ctx)
		case vm := <-controller.kick:
			controller.pull(ctx, vm)
		}
	}
}

// Drain states in later heartbeats that this VM is leaving.
func (controller *Controller) Drain() {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.draining = true
	controller.publishMembers(controller.clock.now())
}

func (controller *Controller) start(run func()) {
	controller.stopped.Add(1)
	go func() {
		defer controller.stopped.Done()
		run()
	}()
}

func (controller *Controller) every(ctx context.Context, period time.Duration, run func()) {
	ticker := time.NewTicker(controller.clock.real(period))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run()
		}
	}
}

// load asks a few peers in turn, so that a starting VM gets the entries once, and from a peer and not the service.
func (controller *Controller) load(ctx context.Context) {
	controller.mutex.Lock()
	controller.view.Assign(controller.clock.now())
	partners := controller.view.Partners()
	controller.mutex.Unlock()
	for _, partner := range member.Top("load/"+string(controller.self.ID), loadAttempts, partners) {
		attempt, cancel := context.WithTimeout(ctx, controller.clock.real(loadTimeout))
		controller.ask(attempt, partner)
		cancel()
		controller.mutex.Lock()
		_, known := controller.freshness.AdmitUntil()
		controller.mutex.Unlock()
		if known {
			return
		}
	}
}

// tick assigns duties and sends heartbeats to all partners that have answered the last one.
func (controller *Controller) tick(ctx context.Context) {
	controller.mutex.Lock()
	now := controller.clock.now()
	controller.view.SetSelf(controller.state(), controller.reachable(now))
	controller.view.Assign(now)
	partners := controller.view.Partners()
	switch old, known := controller.freshness.Age(now); {
	case controller.standsIn(now):
		partners = controller.others()
	case !controller.view.Mesh() && known && old > substituteAfter:
		partners = append(partners, controller.view.Substitutes(now)...)
	}
	controller.publish(nil)
	controller.publishMembers(now)
	controller.observe(now)
	relay := controller.view.IsRelay()
	controller.mutex.Unlock()
	controller.watch(ctx, relay)
	for _, partner := range partners {
		controller.start(func() { controller.ask(ctx, partner) })
	}
}

// pull asks one partner outside the normal period, because it has shown a newer revision.
func (controller *Controller) pull(ctx context.Context, vm ids.VMID) {
	controller.mutex.Lock()
	partners := controller.view.Partners()
	controller.mutex.Unlock()
	for _, partner := range partners {
		if partner.ID == vm {
			controller.start(func() { controller.ask(ctx, partner) })
		}
	}
}

// others returns all listed VMs but this one. The caller holds the mutex.
func (controller *Controller) others() []member.Member {
	var others []member.Member
	for _, listed := range controller.view.Listed() {
		if listed.ID != controller.self.ID {
			others = append(others, listed)
		}
	}
	return others
}

// state returns the state for heartbeats. A VM that may not vote yet reports starting even if it is leaving, since
// peers count the other states in majorities. The caller holds the mutex.
func (controller *Controller) state() member.State {
	switch {
	case !controller.freshness.Voting():
		return member.Starting
	case controller.draining || controller.listed:
		return member.Leaving
	default:
		return member.Live
	}
}

// reachable states whether the service confirmed recently. The caller holds the mutex.
func (controller *Controller) reachable(now time.Duration) bool {
	return now-controller.answered <= reachableWindow
}
