package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/catalog"
	"dotterelgw/core/member"
	corerelay "dotterelgw/core/relay"
	"dotterelgw/io/buildinfo"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/directory"
	"dotterelgw/io/fleet"
	"dotterelgw/io/home"
	"dotterelgw/io/intake"
	"dotterelgw/io/mesh"
	"dotterelgw/io/monitor"
	"dotterelgw/io/observe"
	"dotterelgw/io/promoter"
	"dotterelgw/io/proxy"
	"dotterelgw/io/quota"
	"dotterelgw/io/relay"
)

// Platform holds what the node requires of the platform that it runs on.
type Platform struct {
	// Store is the key-value service.
	Store fleet.Store
	// Format decodes the records of operators and backend servers.
	Format directory.Format
	// Dialer opens connections to backend servers.
	Dialer dbpool.Dialer
	// Promotion promotes backend servers.
	Promotion promoter.Platform
	// Caller wraps an accepted connection, which the intake has admitted, in the platform's caller protocol.
	Caller func(conn net.Conn, admitted *intake.Connection) proxy.Caller
	// Intake admits connections of callers and holds the memory that they share.
	Intake *intake.Intake
	// SetAddresses changes the addresses of the store and the promotion service.
	SetAddresses func(store, promotion string)
	// Ready returns the handler of the readiness check, by which the platform learns whether the VM accepts new
	// connections.
	Ready func(ready func() bool) http.Handler
}

// Node is the proxy of one VM.
type Node struct {
	background context.Context
	stop       context.CancelFunc

	// fencesRead guards the reading of the fences before the first servers are known.
	fencesRead sync.Once
	// serversSet is set once the first servers have been passed on.
	serversSet atomic.Bool

	mutex     sync.Mutex
	settings  Settings
	platform  Platform
	eventLog  *observe.EventLog
	metrics   metrics.Registry
	directory *directory.Directory
	fleet     *fleet.Fleet
	monitor   *monitor.Monitor
	proxy     *proxy.Server
	mesh      *mesh.Mesh
	quota     *quota.Limiter
	// cold limits what cold servers get; nil if the settings have no limits for them.
	cold     *quota.Servers
	promoter *promoter.Promoter
	records  *relay.Store
	// homes hands statements over to VMs that hold connections; homeService does so for others, nil if this VM can't.
	homes       *home.Client
	homeService *home.Service
	// role is this VM's role in relaying records.
	role atomic.Pointer[corerelay.Role]
	// settled reports whether the VMs that started at the same time have had time to register.
	settled  atomic.Bool
	draining atomic.Bool
	ready    atomic.Bool
}

// memoryFraction is the fraction of the memory of the process that becomes the soft limit of the Go runtime, from which on the
// garbage collector runs more often.
const memoryFraction = 0.7

// New returns a node that does nothing until Run.
func New(settings Settings, platform Platform, eventLog *observe.EventLog, registry metrics.Registry) (*Node, error) {
	debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB) * memoryFraction * (1 << 20)))
	network, err := mesh.New(settings.VM, settings.Listen.Peer, eventLog)
	if err != nil {
		return nil, fmt.Errorf("starting the network to other VMs: %w", err)
	}
	// The state of the servers is polled until the last operation has ended, not only until the signal to stop.
	background, stop := context.WithCancel(context.Background())
	node := &Node{
		background: background, stop: stop,
		settings: settings, platform: platform, eventLog: eventLog, metrics: registry,
		monitor: monitor.New(background, platform.Dialer, settings.AvailabilityZone, eventLog),
		mesh:    network,
		quota:   quota.New(settings.VM, network, settings.Restart.Away(), quota.WithEventLog(eventLog), quota.WithMetrics(registry)),
	}
	network.CountTraffic(registry, settings.AvailabilityZone)
	format := settings.Evacuation.format(platform.Format)
	node.role.Store(&corerelay.Role{})
	node.records = relay.New(platform.Store, network, func() corerelay.Role { return *node.role.Load() }, topics(format, settings.Configuration, settings.Evacuation), eventLog, relay.WithSharedListing(recordPrefix, promoter.FencesPrefix))
	node.directory = directory.New(node.records, format, eventLog)
	metrics.NewRegisteredFunctionalGauge("registrations_faulty", registry, func() int64 { return int64(node.directory.Faulty()) })
	node.startHomes()
	node.fleet = fleet.New(fleet.VM{
		ID: settings.VM, Peer: network.Address(), Zone: settings.AvailabilityZone, ProcessorShare: settings.Limits.ProcessorShare,
		ServesAsHome: node.homeService != nil,
	}, node.records, eventLog)
	node.promoter = promoter.New(settings.VM, node.records, node.monitor, node.directory, platform.Promotion, network, eventLog,
		promoter.WithRegistry(vmRegistry{fleet: node.fleet, store: platform.Store}))
	node.monitor.SetDuty(node.promoter.OnDuty)
	node.monitor.SetServiceAge(node.directory.CatalogAge)
	node.monitor.BalanceZones(settings.Zones.policy(), registry)
	node.monitor.Share(monitor.Sharing{Mesh: network, Self: settings.VM, Holder: node.promoter.Holder})
	node.proxy = proxy.New(node.sessionDependencies())
	if settings.Evacuation.LimitsCold() {
		node.limitCold(registry)
	}
	node.directory.OnCatalog(node.monitor.SetCatalog)
	node.directory.OnServers(node.setServers)
	node.directory.OnCatalog(node.quota.SetCatalog)
	if settings.Evacuation.Enabled() {
		node.followEvacuations(registry)
	}
	node.fleet.OnChange(node.setVMs)
	return node, nil
}

// sessionDependencies returns what sessions need, and sets up the limit of cold servers if the settings have one.
func (node *Node) sessionDependencies() proxy.Dependencies {
	settings := node.settings
	dependencies := proxy.Dependencies{
		Directory: node.directory, Groups: node.monitor, Limiter: node.quota, EventLog: node.eventLog, Metrics: node.metrics,
		MaxCatalogAge: settings.Configuration.MaxAge(), MaxSessionBytes: settings.Callers.sessionBytes(),
	}
	if settings.Evacuation.LimitsCold() {
		node.cold = quota.NewServers(settings.VM, node.mesh)
		dependencies.Cold = node.cold
	}
	return dependencies
}

// setServers passes the servers on. Before the first ones it reads the fences that were stored before this VM started, so that it does not
// rely on a primary that is being replaced.
func (node *Node) setServers(servers []catalog.Server) {
	readAt := clock.Now()
	node.fencesRead.Do(func() { node.monitor.SetFences(node.promoter.FencesAtStart(node.background)) })
	node.monitor.SetServers(readAt, servers)
	node.updateColdBudgets()
	node.serversSet.Store(true)
}

func (node *Node) setVMs(vms []fleet.VM) {
	members := members(vms)
	if node.settled.Load() || len(members) > 1 {
		node.chooseRole(members)
	}
	node.mesh.SetVMs(vms)
	node.homes.SetVMs(vms)
	node.quota.SetVMs(member.VMIDs(members))
	node.quota.SetNear(neighbours(members, node.currentSettings().AvailabilityZone))
	node.monitor.SetVMs(members)
	if node.cold != nil {
		node.cold.SetVMs(member.VMIDs(members))
	}
}

// Reload applies a changed settings file. Changed listen addresses take effect only after a restart. Settings with
// faults are rejected as a whole.
func (node *Node) Reload(file, cause string) {
	next, err := Load(file)
	if err != nil {
		node.eventLog.Event("reload_refused", "cause", cause, "file", file, "err", err)
		return
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if next == node.settings {
		node.eventLog.Event("reload", "cause", cause, "file", file, "changed", false)
		return
	}
	needsRestart := next.VM != node.settings.VM || next.Listen != node.settings.Listen || next.AvailabilityZone != node.settings.AvailabilityZone ||
		next.Evacuation != node.settings.Evacuation
	node.settings = next
	node.platform.Intake.SetLimits(next.CallerLimits())
	node.platform.SetAddresses(next.Store.Address, next.Promotion.Address)
	node.eventLog.Event("reload", "cause", cause, "file", file, "changed", true, "needs_restart", needsRestart,
		"store", next.Store.Address, "promotion", next.Promotion.Address)
}

// currentSettings returns the settings in force.
func (node *Node) currentSettings() Settings {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.settings
}

// Run serves until the context ends, then drains.
func (node *Node) Run(ctx context.Context) error {
	background := node.background
	defer node.stop()
	settings := node.currentSettings()
	callers, err := settings.Callers.listen(settings.Listen.Caller)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	ready, err := net.Listen("tcp", settings.Listen.Ready)
	if err != nil {
		return fmt.Errorf("listening for readiness checks: %w", err)
	}
	metricsListener, err := net.Listen("tcp", settings.Listen.Metrics)
	if err != nil {
		return fmt.Errorf("listening for metrics: %w", err)
	}
	build := buildinfo.Read()
	node.eventLog.Event("start", "caller", callers.Addr(), "ready", ready.Addr(), "peer", node.mesh.Address(),
		"metrics", metricsListener.Addr(), "store", settings.Store.Address, "availability_zone", settings.AvailabilityZone,
		"version", build.Version, "revision", build.Revision, "modified", build.Modified, "go", build.GoVersion, "build", build.ID)
	var group sync.WaitGroup
	group.Go(func() { node.directory.Run(background) })
	group.Go(func() { node.records.Run(background) })
	group.Go(func() { node.join(background) })
	group.Go(func() { node.quota.Run(background) })
	group.Go(func() { node.monitor.Run(background) })
	group.Go(func() { node.homes.Run(background) })
	if node.homeService != nil {
		group.Go(func() { node.homeService.Run(background) })
	}
	if node.cold != nil {
		group.Go(func() { node.cold.Run(background) })
		group.Go(func() { clock.Every(background, coldCheckInterval, node.updateColdBudgets) })
	}
	group.Go(func() { node.accept(callers) })
	readiness := &http.Server{Handler: node.platform.Ready(node.Ready), ReadHeaderTimeout: time.Second}
	group.Go(func() { _ = readiness.Serve(ready) })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", observe.MetricsHandler(node.metrics, "dotterelgw_"))
	mux.HandleFunc("GET /explain", node.explain)
	metricsServer := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	group.Go(func() { _ = metricsServer.Serve(metricsListener) })
	<-ctx.Done()
	node.drain()
	node.stop()
	// A listener that fails to close ends with the process.
	_ = callers.Close()
	_ = readiness.Close()
	_ = metricsServer.Close()
	node.eventLog.Event("stop", "sessions", node.proxy.Sessions())
	return nil
}

// Ready reports whether the VM accepts new connections.
func (node *Node) Ready() bool {
	ready := !node.draining.Load() && node.directory.Loaded() && node.serversSet.Load() && node.fleet.Listed()
	if node.ready.Swap(ready) != ready {
		node.eventLog.Event("readiness", "ready", ready, "draining", node.draining.Load())
	}
	return ready
}

// accept serves callers until the listener is closed.
func (node *Node) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			node.eventLog.LimitedEvent("accept_failed", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		admitted := node.platform.Intake.Admit(conn)
		if admitted == nil {
			_ = conn.Close()
			continue
		}
		go func() {
			defer admitted.End()
			node.proxy.Serve(node.platform.Caller(conn, admitted))
		}()
	}
}

// acceptPause is the pause after a failed accept, which is usually caused by a lack of descriptors.
const acceptPause = 20 * time.Millisecond

// drain lets operations end. New connections are accepted until the platform has noticed that the VM is not ready.
func (node *Node) drain() {
	node.draining.Store(true)
	node.promoter.Retire()
	grace := node.currentSettings().Drain.Grace()
	node.eventLog.Event("drain", "sessions", node.proxy.Sessions(), "grace_ms", grace.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin)
	defer cancel()
	var group sync.WaitGroup
	if node.homeService != nil {
		group.Go(func() { node.homeService.Drain(ctx) })
	}
	timer := time.NewTimer(min(readinessDelay, grace/3))
	defer timer.Stop()
	<-timer.C
	node.proxy.Drain(ctx, clock.Now()+grace/2-min(readinessDelay, grace/3))
	group.Wait()
}

const (
	// readinessDelay is the time for the platform to notice that the VM is not ready: two checks one second apart, plus
	// the connections that were already on their way.
	readinessDelay = 2 * time.Second
	// stopMargin is the last part of the grace period, reserved for ending the process.
	stopMargin = 400 * time.Millisecond
)
