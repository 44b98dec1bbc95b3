package gateway

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/core/position"
	"dotterelgw/io/admin"
	"dotterelgw/io/backend"
	"dotterelgw/io/control"
	"dotterelgw/io/failover"
	"dotterelgw/io/frontend"
	"dotterelgw/io/group"
	"dotterelgw/io/limiter"
	"dotterelgw/io/observe"
	"dotterelgw/io/peer"
	"dotterelgw/io/peer/peerpb"
	"dotterelgw/io/platform"
	"dotterelgw/io/session"
	"dotterelgw/io/settings"
)

// Addresses holds the addresses that the process listens on.
type Addresses struct {
	// Caller is the address for connections of callers.
	Caller string `json:"caller"`
	// Peer is the address for requests of other VMs.
	Peer string `json:"peer"`
	// Admin is the address of the administration API.
	Admin string `json:"admin"`
}

// Gateway is one proxy process.
type Gateway struct {
	settings  settings.Settings
	logger    log.Logger
	metrics   metrics.Registry
	listeners listeners

	store      platform.Client
	dialer     *peer.ConnectionDialer
	controller *control.Controller
	pools      *backend.Pools
	groups     *group.Groups
	limiter    limiter.Limiter
	recorder   admin.Recorder
	sessions   *session.Server
	frontend   *frontend.Frontend
	failover   *failover.Executor
	peers      *peer.Server
	admin      *admin.Server

	lifecycle *lifecycle
	drain     chan struct{}
	allotter  *allotter
}

// New opens the listeners and assembles the components; Run starts them.
func New(settings settings.Settings, logger log.Logger) (*Gateway, error) {
	gateway := &Gateway{
		settings: settings, logger: observe.WithComponent(logger, "gateway"), metrics: metrics.NewRegistry(), drain: make(chan struct{}),
	}
	var err error
	if gateway.listeners, err = openListeners(settings.Listen); err != nil {
		return nil, fmt.Errorf("opening listeners: %w", err)
	}
	if gateway.lifecycle, err = gateway.newLifecycle(); err != nil {
		gateway.listeners.close()
		return nil, err
	}
	if err := gateway.assemble(logger); err != nil {
		gateway.listeners.close()
		return nil, fmt.Errorf("assembling the process: %w", err)
	}
	return gateway, nil
}

// Addresses returns the addresses that the process listens on.
func (gateway *Gateway) Addresses() Addresses {
	return Addresses{
		Caller: gateway.listeners.caller.Addr().String(),
		Peer:   gateway.listeners.peer.Addr().String(),
		Admin:  gateway.listeners.admin.Addr().String(),
	}
}

func (gateway *Gateway) assemble(logger log.Logger) error {
	transport, err := gateway.peerTLS()
	if err != nil {
		return fmt.Errorf("loading peer certificates: %w", err)
	}
	vm := gateway.settings.VM
	if gateway.store, err = platform.New([]string{gateway.settings.Platform.KeyValue}, vm); err != nil {
		return fmt.Errorf("preparing the key-value client: %w", err)
	}
	self := member.Member{ID: vm, Address: gateway.Addresses().Peer, Zone: gateway.settings.AvailabilityZone}
	gateway.dialer = peer.NewDialer(transport)
	gateway.controller = control.New(self, gateway.store, platform.NewVMList(gateway.settings.Platform.VMList, vm),
		gateway.dialer, control.WithLogger(observe.WithComponent(logger, "control")), control.WithMetrics(gateway.metrics))
	gateway.recorder = admin.NewRecorder(vm, gateway.metrics, time.Now)
	gateway.pools = backend.New(backend.Login{User: gateway.settings.Backend.User, Password: gateway.settings.Backend.Password, VM: vm})
	login := group.Login{User: gateway.settings.Backend.ControlUser, Password: gateway.settings.Backend.Password, VM: vm}
	gateway.groups = group.New(group.WithLogin(login), group.WithBusyConnections(gateway.pools.Busy),
		group.WithMetrics(gateway.metrics), group.WithLogger(observe.WithComponent(logger, "group")))
	gateway.allotter = newAllotter(vm, gateway.controller, gateway.groups, gateway.pools)
	gateway.limiter = limiter.New(vm, gateway.controller, fleet{gateway.controller, gateway.dialer}, rankVMs,
		observe.WithComponent(logger, "limiter"))
	if err := gateway.assembleFrontend(logger); err != nil {
		return err
	}
	gateway.failover = failover.New(vm, gateway.store, gateway.groups, gateway.dialer, member.Top, gateway.controller.Members,
		failover.WithMetrics(gateway.metrics), failover.WithLogger(observe.WithComponent(logger, "orderer")))
	gateway.peers = peer.NewServer(peer.Handlers{
		Exchange: gateway.controller.Exchange, Borrow: gateway.limiter.Borrow, Evidence: gateway.failover.Evidence,
		Refusals: gateway.recorder.Refusals, Cancel: gateway.cancel,
	}, transport)
	return gateway.assembleAdmin(logger, transport)
}

func (gateway *Gateway) assembleFrontend(logger log.Logger) error {
	secret, err := hex.DecodeString(gateway.settings.TokenSecret)
	if err != nil {
		return fmt.Errorf("decoding the token secret: %w", err)
	}
	tokenSigner, err := position.NewTokenSigner(secret)
	if err != nil {
		return fmt.Errorf("preparing session tokens: %w", err)
	}
	recorder := recorder{gateway.recorder}
	gateway.sessions = session.New(session.Dependencies{
		Control: gateway.controller, Groups: gateway.groups, Pools: gateway.pools, Limiter: gateway.limiter,
		Recorder: recorder, TokenSigner: tokenSigner, VM: gateway.settings.VM, Zone: gateway.settings.AvailabilityZone,
		Now: gateway.groups.Now, Metrics: gateway.metrics, Logger: observe.WithComponent(logger, "session"),
		MaxMessageBytes: gateway.settings.Limits.MaxMessageBytes,
	})
	callerTLS, err := gateway.callerTLS()
	if err != nil {
		return fmt.Errorf("loading the certificate for callers: %w", err)
	}
	gateway.frontend, err = frontend.New(frontend.Dependencies{
		Control: gateway.controller, Sessions: gateway.sessions, Recorder: recorder,
		Forwarder: forwarder{gateway.controller, gateway.dialer}, TLS: callerTLS, Plaintext: gateway.settings.Listen.Plaintext,
		MockSecret: deriveSecret(secret, "mock exchange"), MaxMessageBytes: gateway.settings.Limits.MaxMessageBytes,
		MaxConnections: gateway.settings.Limits.MaxConnections, Logger: observe.WithComponent(logger, "frontend"),
	})
	if err != nil {
		return fmt.Errorf("preparing the frontend: %w", err)
	}
	return nil
}

func (gateway *Gateway) assembleAdmin(logger log.Logger, transport *tls.Config) error {
	var operators []admin.Operator
	for _, configured := range gateway.settings.Admin.Operators {
		operator, err := admin.NewOperator(configured.Name, configured.CredentialSHA256)
		if err != nil {
			return fmt.Errorf("operator %s: %w", configured.Name, err)
		}
		operators = append(operators, operator)
	}
	var options []admin.Option
	if transport != nil {
		options = append(options, admin.WithTLS(&tls.Config{Certificates: transport.Certificates, MinVersion: tls.VersionTLS13}))
	}
	gateway.admin = admin.New(admin.Dependencies{
		VM: gateway.settings.VM, Zone: gateway.settings.AvailabilityZone, Control: gateway.controller,
		Reader: gateway.store, Groups: gateway.groups, Peers: gateway.dialer, Recorder: gateway.recorder,
		Ready: gateway.ready, Drain: gateway.Drain, Operators: operators, Metrics: gateway.metrics,
		Logger: observe.WithComponent(logger, "admin"),
	}, options...)
	return nil
}

// ready returns nil if the VM accepts new connections, otherwise the reason why not.
func (gateway *Gateway) ready() error {
	switch {
	case !gateway.lifecycle.serving():
		return errors.New("the VM is shutting down")
	case !gateway.controller.Admitting():
		return errors.New("the configuration is not confirmed")
	case !gateway.limiter.Ready():
		return errors.New("the share record is not known")
	default:
		return nil
	}
}

// Drain starts a graceful shutdown; Run returns when it is complete.
func (gateway *Gateway) Drain() { gateway.fire(eventDrain) }

func (gateway *Gateway) cancel(_ context.Context, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return &peerpb.CancelReply{Found: gateway.sessions.Cancel(request.ProcessId, request.SecretKey)}, nil
}

// deriveSecret returns a separate secret for the purpose, so that one use cannot disclose the secret of another.
func deriveSecret(secret []byte, purpose string) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(purpose))
	return mac.Sum(nil)
}

// rankVMs returns the first n VMs for an organisation by rendezvous hash.
func rankVMs(organisation ids.OrganisationID, n int, vms []ids.VMID) []ids.VMID {
	members := make([]member.Member, len(vms))
	for index, vm := range vms {
		members[index].ID = vm
	}
	top := member.Top("rate/"+string(organisation), n, members)
	ranked := make([]ids.VMID, len(top))
	for index, member := range top {
		ranked[index] = member.ID
	}
	return ranked
}

// listeners holds the open listeners of the process.
type listeners struct {
	caller, peer, admin net.Listener
}

func openListeners(listen settings.Listen) (listeners, error) {
	var open listeners
	for _, entry := range []struct {
		name    string
		address string
		to      *net.Listener
	}{{"caller", listen.Caller, &open.caller}, {"peer", listen.Peer, &open.peer}, {"admin", listen.Admin, &open.admin}} {
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			open.close()
			return listeners{}, fmt.Errorf("listen.%s: %w", entry.name, err)
		}
		*entry.to = listener
	}
	return open, nil
}

func (listeners listeners) close() {
	for _, listener := range []net.Listener{listeners.caller, listeners.peer, listeners.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
