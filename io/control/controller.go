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
	// exchangePeriod is the interval of heartbeats to a partner.
	exchangePeriod = 500 * time.Millisecond
	// exchangeTimeout bounds one heartbeat. Later replies would not count towards a majority.
	exchangeTimeout = freshness.AnswerWindow
	// vmListPeriod is the interval at which the VM list is read.
	vmListPeriod = time.Second
	// bootstrapTimeout bounds each request of a starting VM to a peer for the entries.
	bootstrapTimeout = 300 * time.Millisecond
	// bootstrapAttempts is the number of peers tried before the VM reads from the service, if it is a relay.
	bootstrapAttempts = 3
	// substituteAfter is the age of the confirmation above which a VM of a large fleet also exchanges heartbeats with
	// relays of other zones. It is above the 1 s that a confirmation takes through a relay.
	substituteAfter = 1200 * time.Millisecond
	// reachableWindow is the age of the service's last confirmation up to which the service counts as reachable. Answers
	// to writes do not count: they confirm no configuration, and a VM that only gets those must not prevent a majority
	// from confirming in place of the service.
	reachableWindow = time.Second
)

// Controller implements Control. Its state is only updated while Run is running.
type Controller struct {
	self         member.Member
	store        Store
	list         VMList
	dialer       peer.Dialer
	logger       log.Logger
	peerAllowed  func(ids.VMID) bool
	clock        clock
	metricSet    *metricSet
	pullRequests chan ids.VMID
	goroutines   sync.WaitGroup

	// The data path reads these fields without the mutex. admitUntil is on the controller's clock, -1 for never.
	admitUntil atomic.Int64
	contracts  atomic.Pointer[contracts]
	members    atomic.Pointer[[]member.Member]
	leaving    atomic.Pointer[map[ids.BackendServerID]struct{}]
	revision   atomic.Int64

	mutex            sync.Mutex
	entries          *config.Store
	view             *member.View
	tracker          *freshness.Tracker
	peers            map[ids.VMID]*peerState
	serviceConfirmed time.Duration // time of the service's last confirmation
	draining         bool
	listedLeaving    bool // the VM list marks this VM as leaving
	// stopWatch ends the watch of the service; nil while there is none.
	stopWatch context.CancelFunc
	// wasAdmitting is the value of Admitting at the last tick, to log changes.
	wasAdmitting bool
	// lastMajorityCheck is the time at which answers were last counted during an outage of the service.
	lastMajorityCheck time.Duration

	notifier notifier
}

// peerState is the state of the exchange with one peer.
type peerState struct {
	// inFlight is true while a heartbeat to the peer awaits its reply.
	inFlight bool
	// revision is the revision in the peer's last heartbeat or reply.
	revision ids.Revision
	// wantAll requests every entry from the peer, after digests differed at the same revision.
	wantAll bool
}

// New returns the controller of the VM self.
func New(self member.Member, store Store, list VMList, dialer peer.Dialer, options ...Option) *Controller {
	controller := &Controller{
		self: self, store: store, list: list, dialer: dialer,
		logger:       log.NewNopLogger(),
		peerAllowed:  func(ids.VMID) bool { return true },
		clock:        clock{origin: time.Now(), speed: 1},
		pullRequests: make(chan ids.VMID, 64),
		entries:      config.NewStore(),
		metricSet:    newMetricSet(metrics.NewRegistry()),
		peers:        map[ids.VMID]*peerState{},
	}
	for _, option := range options {
		option(controller)
	}
	controller.logger = observe.WithComponent(controller.logger, "control")
	now := controller.clock.now()
	controller.view = member.NewView(self, now)
	controller.tracker = freshness.New(self.ID, now)
	controller.serviceConfirmed = now - 2*reachableWindow
	controller.admitUntil.Store(-1)
	controller.contracts.Store(&contracts{})
	controller.members.Store(&[]member.Member{})
	controller.leaving.Store(&map[ids.BackendServerID]struct{}{})
	controller.notifier.wake = make(chan struct{}, 1)
	return controller
}

// Run exchanges heartbeats, reads the VM list and watches the service until the context ends.
func (controller *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		controller.goroutines.Wait()
	}()
	controller.spawn(func() { controller.notifier.deliver(ctx) })
	controller.refreshVMList(ctx)
	controller.bootstrap(ctx)
	controller.spawn(func() {
		controller.runPeriodically(ctx, vmListPeriod, func() { controller.refreshVMList(ctx) })
	})
	ticker := time.NewTicker(controller.clock.realTime(exchangePeriod))
	defer ticker.Stop()
	controller.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			controller.tick(ctx)
		case vm := <-controller.pullRequests:
			controller.pull(ctx, vm)
		}
	}
}

// Drain marks this VM as leaving in all later heartbeats.
func (controller *Controller) Drain() {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.draining = true
	controller.publishMembers(controller.clock.now())
}

// spawn runs the function in a goroutine that Run waits for.
func (controller *Controller) spawn(run func()) {
	controller.goroutines.Add(1)
	go func() {
		defer controller.goroutines.Done()
		run()
	}()
}

func (controller *Controller) runPeriodically(ctx context.Context, period time.Duration, run func()) {
	ticker := time.NewTicker(controller.clock.realTime(period))
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

// bootstrap tries a few peers in turn until one confirms, so that a starting VM loads the entries only once, and from a
// peer instead of the service.
func (controller *Controller) bootstrap(ctx context.Context) {
	controller.mutex.Lock()
	controller.view.Assign(controller.clock.now())
	partners := controller.view.HeartbeatTargets()
	controller.mutex.Unlock()
	for _, partner := range member.Top("load/"+string(controller.self.ID), bootstrapAttempts, partners) {
		attempt, cancel := context.WithTimeout(ctx, controller.clock.realTime(bootstrapTimeout))
		controller.exchangeWith(attempt, partner)
		cancel()
		controller.mutex.Lock()
		_, known := controller.tracker.AdmitUntil()
		controller.mutex.Unlock()
		if known {
			return
		}
	}
}

// tick updates the roles of this VM and sends heartbeats to all partners that have no heartbeat in flight.
func (controller *Controller) tick(ctx context.Context) {
	controller.mutex.Lock()
	now := controller.clock.now()
	controller.view.SetSelf(controller.state(), controller.serviceReachable(now))
	controller.view.Assign(now)
	partners := controller.view.HeartbeatTargets()
	switch age, known := controller.tracker.Age(now); {
	case controller.shouldPollAll(now):
		partners = controller.others()
	case !controller.view.IsMesh() && known && age > substituteAfter:
		partners = append(partners, controller.view.FallbackRelays(now)...)
	}
	controller.publish(nil)
	controller.publishMembers(now)
	controller.updateMetrics(now)
	relay := controller.view.IsRelay()
	controller.mutex.Unlock()
	controller.setWatching(ctx, relay)
	for _, partner := range partners {
		controller.spawn(func() { controller.exchangeWith(ctx, partner) })
	}
}

// pull sends a heartbeat to one partner between ticks, because it has a newer revision.
func (controller *Controller) pull(ctx context.Context, vm ids.VMID) {
	controller.mutex.Lock()
	partners := controller.view.HeartbeatTargets()
	controller.mutex.Unlock()
	for _, partner := range partners {
		if partner.ID == vm {
			controller.spawn(func() { controller.exchangeWith(ctx, partner) })
		}
	}
}

// others returns all listed VMs except this one. The caller holds the mutex.
func (controller *Controller) others() []member.Member {
	var others []member.Member
	for _, listed := range controller.view.Listed() {
		if listed.ID != controller.self.ID {
			others = append(others, listed)
		}
	}
	return others
}

// state returns the state for heartbeats. A VM that may not vote yet reports Starting even if it is leaving, since peers
// count the other states towards a majority. The caller holds the mutex.
func (controller *Controller) state() member.State {
	switch {
	case !controller.tracker.Voting():
		return member.Starting
	case controller.draining || controller.listedLeaving:
		return member.Leaving
	default:
		return member.Live
	}
}

// serviceReachable reports whether the service confirmed within reachableWindow. The caller holds the mutex.
func (controller *Controller) serviceReachable(now time.Duration) bool {
	return now-controller.serviceConfirmed <= reachableWindow
}
