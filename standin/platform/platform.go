package platform

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"dotterelgw/io/platform/etcdpb"
)

const (
	// minKeepalive is the shortest period between keepalives that etcd accepts.
	minKeepalive  = 5 * time.Second
	headerTimeout = 5 * time.Second
)

// Settings holds the addresses (host and port) to listen on. Port 0 selects a free port; an empty address disables the
// listener.
type Settings struct {
	// Listen is the address of the key-value service.
	Listen string
	// VMsListen is the address of the VM list.
	VMsListen string
	// SwitchesListen is the address of the switches.
	SwitchesListen string
}

// Addresses holds the actual addresses of the listeners.
type Addresses struct {
	// KeyValue is the address of the key-value service.
	KeyValue string `json:"key_value,omitempty"`
	// VMs is the address of the VM list.
	VMs string `json:"vms,omitempty"`
	// Switches is the address of the switches.
	Switches string `json:"switches,omitempty"`
}

// Option configures the stand-in.
type Option func(*Platform)

// WithHistory sets the maximum number of changes kept for watches; older ones are compacted.
func WithHistory(changes int) Option {
	return func(platform *Platform) { platform.store.maxHistory = changes }
}

// WithVMs sets the initial VM list, which is visible at once regardless of the lag.
func WithVMs(vms []VM) Option {
	return func(platform *Platform) { platform.vms.versions = []vmVersion{{vms: append([]VM{}, vms...)}} }
}

// Platform is a running stand-in.
type Platform struct {
	store     *store
	injector  *injector
	vms       *vmList
	addresses Addresses
	grpc      *grpc.Server
	http      []*http.Server
	stop      chan struct{}
	once      sync.Once
	done      sync.WaitGroup
}

// New starts a stand-in; Close stops it.
func New(settings Settings, options ...Option) (*Platform, error) {
	platform := &Platform{
		store:    newStore(defaultHistory),
		injector: newInjector(),
		vms:      &vmList{},
		stop:     make(chan struct{}),
	}
	for _, option := range options {
		option(platform)
	}
	if err := platform.listen(settings); err != nil {
		return nil, errors.Join(err, platform.Close())
	}
	platform.done.Go(platform.expireLeases)
	return platform, nil
}

func (platform *Platform) listen(settings Settings) error {
	if settings.Listen != "" {
		listener, err := net.Listen("tcp", settings.Listen)
		if err != nil {
			return fmt.Errorf("key-value service: %w", err)
		}
		platform.addresses.KeyValue = listener.Addr().String()
		platform.grpc = grpc.NewServer(
			grpc.UnaryInterceptor(platform.injector.interceptUnary),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepalive, PermitWithoutStream: true}),
		)
		services := &services{store: platform.store, injector: platform.injector}
		etcdpb.RegisterKVServer(platform.grpc, services)
		etcdpb.RegisterWatchServer(platform.grpc, services)
		etcdpb.RegisterLeaseServer(platform.grpc, services)
		platform.done.Go(func() { _ = platform.grpc.Serve(listener) })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", platform.serveVMs)
	var err error
	if platform.addresses.VMs, err = platform.serveHTTP(settings.VMsListen, mux); err != nil {
		return fmt.Errorf("VM list: %w", err)
	}
	if platform.addresses.Switches, err = platform.serveHTTP(settings.SwitchesListen, platform.switchesHandler()); err != nil {
		return fmt.Errorf("switches: %w", err)
	}
	return nil
}

func (platform *Platform) serveHTTP(address string, handler http.Handler) (string, error) {
	if address == "" {
		return "", nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	platform.http = append(platform.http, server)
	platform.done.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (platform *Platform) expireLeases() {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			platform.store.expireLeases(now)
		case <-platform.stop:
			return
		}
	}
}

// Close ends all calls and closes the listeners; the stored data is lost.
func (platform *Platform) Close() error {
	platform.once.Do(func() { close(platform.stop) })
	if platform.grpc != nil {
		platform.grpc.Stop()
	}
	var err error
	for _, server := range platform.http {
		err = errors.Join(err, server.Close())
	}
	platform.done.Wait()
	return err
}

// Addresses returns the addresses of the listeners.
func (platform *Platform) Addresses() Addresses { return platform.addresses }

// Switches returns the current switches.
func (platform *Platform) Switches() Switches {
	switches, _ := platform.injector.get()
	return switches
}

// Change edits the switches; the function must not call the stand-in.
func (platform *Platform) Change(edit func(*Switches)) { platform.injector.change(edit) }

// Counts returns the call counts.
func (platform *Platform) Counts() Counts { return platform.injector.counts(false) }

// ResetCounts returns the call counts and restarts them at zero.
func (platform *Platform) ResetCounts() Counts { return platform.injector.counts(true) }

// VMs returns the VM list without lag.
func (platform *Platform) VMs() []VM { return platform.vms.at(time.Now()) }

// SetVMs replaces the VM list.
func (platform *Platform) SetVMs(vms []VM) {
	platform.vms.edit(func([]VM) []VM { return vms })
}

// Compact drops the history up to the current revision, which cancels watches from older revisions.
func (platform *Platform) Compact() {
	platform.store.mutex.Lock()
	defer platform.store.mutex.Unlock()
	platform.store.compact(platform.store.revision)
}
