package edged

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

// ErrSettings is wrapped by errors for invalid settings. errors.As finds the
// *yamldoc.Error that lists the faults.
var ErrSettings = errors.New("edged: invalid settings")

// maxSettingsBytes bounds the size of a settings file.
const maxSettingsBytes = 1_000_000

// Settings are the settings of an edge daemon.
type Settings struct {
	// Path is the file that the settings were read from; empty if none.
	Path          string
	VM            string
	FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	Listen  ListenSettings
	// PeerPort is the port that daemons use among themselves, the same on every VM:
	// UDP for gossip, TCP for fetching views.
	PeerPort uint16
	// Seeds are IP addresses of VMs whose daemons may know others; a daemon sends
	// them gossip as long as it does not know the leafs.
	Seeds []string
	// Cores is the processor time that the daemon may use, in cores.
	Cores float64
	// Memory is the memory that the daemon may use, in bytes.
	Memory int64
	// Descriptors is the number of files and sockets that the daemon may have open.
	Descriptors int
	// StoreAddress is the ip:port of the platform's store.
	StoreAddress string
	Retry        RetrySettings
	// Quota bounds how far requests of a tenant may exceed its limit; the zero value if the
	// platform states no bounds.
	Quota QuotaSettings
	// Rollout bounds the exposure of new versions; nil if roll-outs are not followed.
	Rollout *RolloutSettings
	// StopTimeout is how long the graceful shutdown may take.
	StopTimeout time.Duration
	// ContactLoss is the silence after which a daemon must no longer be named to
	// callers.
	ContactLoss time.Duration
	// ApplyWithin is the time after its acknowledgement by the store within which a change is
	// to be in force at each daemon that reaches the store.
	ApplyWithin time.Duration
	// AddressTTL is the time to live of the addresses that callers are given.
	AddressTTL time.Duration
	LogLevel   log.Level
}

// ListenSettings are the ip:port addresses that the daemon listens on. Admin serves
// metrics and the command line; it may be empty.
type ListenSettings struct{ Caller, Ready, Directory, Admin string }

// RetrySettings bound the attempts beyond the first of each request, of all daemons
// together.
type RetrySettings struct {
	// Ratio allows a share of the requests of a window; Slack is a number of attempts
	// per window in addition.
	Ratio, Slack float64
	// Window is the length of that window; 0 if the platform does not state it.
	Window time.Duration
}

// QuotaSettings bound the requests of a tenant, of all daemons together: in each Window
// (rate * Window + burst) * (1 + Overshoot) + Slack.
type QuotaSettings struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// RolloutSettings bound the requests that a version gets before it is known to be good, of
// all daemons together.
type RolloutSettings struct {
	// Share is the part of the service's requests, Slack a number of requests in addition.
	Share, Slack float64
	// StopWithin is the time after the 50th bad answer of a version after which it may get
	// no more requests.
	StopWithin time.Duration
	// OrderWithin is the time within which a daemon learns of an order.
	OrderWithin time.Duration
}

// Bounds and defaults of the settings.
const (
	maxPort          = 65535
	maxRetrySlack    = 1e6
	maxRetryWindow   = 10 * time.Minute
	maxCores         = 1024
	defaultMemoryMiB = 256
	minMemoryMiB     = 64
	maxMemoryMiB     = 1 << 20
	// Descriptors are a number of files and sockets.
	defaultDescriptors = 4096
	minDescriptors     = 256
	maxDescriptors     = 1 << 20
	minStopTimeout     = time.Second
	maxStopTimeout     = 10 * time.Minute
	defaultAddressTTL  = time.Second
	minAddressTTL      = 100 * time.Millisecond
	maxAddressTTL      = time.Minute
	defaultLogLevel    = log.InfoLevel
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 10
	defaultQuotaWindow = 5 * time.Second
	maxQuotaWindow     = 10 * time.Minute
	maxQuotaOvershoot  = 10
	maxQuotaSlack      = 1e6
	defaultRolloutStop = 5 * time.Second
	maxRolloutSlack    = 1e6
	defaultOrderWithin = 5 * time.Second
	minBound           = 100 * time.Millisecond
	maxBound           = 10 * time.Minute
	defaultStopTimeout = 6 * time.Second
	defaultContactLoss = 4 * time.Second
	minApplyWithin     = time.Second
	maxApplyWithin     = 10 * time.Minute
	minContactLoss     = 100 * time.Millisecond
	maxContactLoss     = 10 * time.Minute
)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("edged: %w", err)
	}
	s, err := ParseSettings(path, data)
	if err != nil {
		return nil, err
	}
	s.Path = path
	return s, nil
}

// ParseSettings parses and checks settings. The name identifies the source in
// error messages.
func ParseSettings(name string, data []byte) (*Settings, error) {
	doc, root := yamldoc.Parse(name, data, maxSettingsBytes)
	s := readSettings(root)
	if err := doc.Err(); err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrSettings, err)
	}
	return s, nil
}

func readSettings(root yamldoc.Node) *Settings {
	m := root.Map("vm", "failure_domain", "regions", "listen", "peer_port", "seeds", "store", "processor", "memory_mb", "descriptors", "retry", "quota", "rollout", "stop", "contact_loss", "apply_within", "address_ttl", "log")
	listen := m.Need("listen").Map("caller", "ready", "directory", "admin")
	processor := m.Get("processor").Map("share", "cores")
	retry := m.Get("retry").Map("ratio", "slack", "window")
	s := &Settings{
		VM:            m.Need("vm").Name(),
		FailureDomain: m.Need("failure_domain").Name(),
		Regions:       map[string]string{},
		Listen: ListenSettings{
			Caller: listen.Need("caller").Address(), Ready: listen.Need("ready").Address(),
			Directory: listen.Need("directory").Address(), Admin: listen.Get("admin").Address(),
		},
		PeerPort:     uint16(m.Need("peer_port").Int(0, 1, maxPort)),
		StoreAddress: m.Need("store").Address(),
		Cores:        processor.Get("share").Float(1, 0, maxCores) * processor.Get("cores").Float(1, 0, maxCores),
		Memory:       int64(m.Get("memory_mb").Float(defaultMemoryMiB, minMemoryMiB, maxMemoryMiB) * (1 << 20)),
		Descriptors:  int(m.Get("descriptors").Int(defaultDescriptors, minDescriptors, maxDescriptors)),
		Retry: RetrySettings{
			Ratio: retry.Get("ratio").Float(defaultRetryRatio, 0, 1),
			Slack: retry.Get("slack").Float(defaultRetrySlack, 0, maxRetrySlack),
			// 0 means unknown.
			Window: retry.Get("window").Duration(0, 0, maxRetryWindow),
		},
		StopTimeout: m.Get("stop").Duration(defaultStopTimeout, minStopTimeout, maxStopTimeout),
		ContactLoss: m.Get("contact_loss").Duration(defaultContactLoss, minContactLoss, maxContactLoss),
		ApplyWithin: m.Get("apply_within").Duration(gateway.DefaultApplyWithin, minApplyWithin, maxApplyWithin),
		AddressTTL:  m.Get("address_ttl").Duration(defaultAddressTTL, minAddressTTL, maxAddressTTL),
		LogLevel:    log.MustParseLevel(m.Get("log").OneOf(defaultLogLevel.String(), "debug", "info", "warn", "error")),
	}
	readLimits(m, s)
	for _, n := range m.Get("regions").List() {
		entry := n.Map("failure_domain", "region")
		s.Regions[entry.Need("failure_domain").Name()] = entry.Need("region").Name()
	}
	for _, n := range m.Get("seeds").List() {
		if host, _, err := net.SplitHostPort(n.Address()); err == nil {
			s.Seeds = append(s.Seeds, host)
		}
	}
	return s
}

// readLimits reads the settings of limits that not all deployments have.
func readLimits(m yamldoc.Map, s *Settings) {
	if m.Has("quota") {
		quota := m.Get("quota").Map("window", "overshoot", "slack")
		s.Quota = QuotaSettings{
			Window:    quota.Get("window").Duration(defaultQuotaWindow, minBound, maxQuotaWindow),
			Overshoot: quota.Get("overshoot").Float(0, 0, maxQuotaOvershoot),
			Slack:     quota.Get("slack").Float(0, 0, maxQuotaSlack),
		}
	}
	if m.Has("rollout") {
		rollout := m.Get("rollout").Map("share", "slack", "stop_within", "order_within")
		s.Rollout = &RolloutSettings{
			Share:       rollout.Get("share").Float(0, 0, 1),
			Slack:       rollout.Get("slack").Float(0, 0, maxRolloutSlack),
			StopWithin:  rollout.Get("stop_within").Duration(defaultRolloutStop, minBound, maxBound),
			OrderWithin: rollout.Get("order_within").Duration(defaultOrderWithin, minBound, maxBound),
		}
	}
}

// bodyMemoryShare is the part of the daemon's memory that the bodies of answers and
// requests may use together.
const bodyMemoryShare = 0.125

// bodyMemoryBudget returns the number of bytes that the bodies of answers and
// requests may use together.
func (s *Settings) bodyMemoryBudget() int64 { return int64(float64(s.Memory) * bodyMemoryShare) }

// headMemoryShare is the part of the daemon's memory that heads of requests may use
// together. All connections of callers with ordinary heads of 12 lines and 0.5 KB use a
// quarter of it on VMs with 184 MB and 4,100 descriptors.
const headMemoryShare = 0.125

// headMemoryBudget returns the number of bytes that heads of requests may use together.
func (s *Settings) headMemoryBudget() int64 { return int64(float64(s.Memory) * headMemoryShare) }

const (
	// unreadMemoryShare is the part of the daemon's memory that bytes which were received
	// and not read may use. The kernel takes up to twice the size of a buffer.
	unreadMemoryShare = 0.25
	// Bounds of a receive buffer in bytes. With the least one, a body of 262,144 bytes
	// takes 1.4 ms on loopback instead of 0.3 ms.
	minReceiveBuffer = 4 << 10
	maxReceiveBuffer = 64 << 10
	// minSendBuffer is the least size in bytes of a send buffer. Without a bound, the kernel
	// takes up to 4 MB for a client that does not read its answer.
	minSendBuffer = 16 << 10
)

// receiveBuffer returns the size in bytes of the receive buffer of a connection, so that
// those of all connections stay within unreadMemoryShare.
func (s *Settings) receiveBuffer() int {
	conns := s.maxCallerConns() + s.maxDirectoryConns() + maxReadyConns + maxAdminConns + maxViewConns
	size := int(float64(s.Memory) * unreadMemoryShare / float64(2*conns))
	return max(minReceiveBuffer, min(maxReceiveBuffer, size))
}

// goMemoryShare is the part of the daemon's memory at which the garbage collector is run
// more often. The rest is for the program's text and the kernel's buffers.
const goMemoryShare = 0.6

// LimitMemory makes the garbage collector keep the process within its memory.
func (s *Settings) LimitMemory() { debug.SetMemoryLimit(int64(float64(s.Memory) * goMemoryShare)) }

// callerConnShare is the part of the descriptors that connections of callers may
// use. The directory, leafs, the store and the other daemons need the rest.
const callerConnShare = 0.5

// directoryConnShare is the part of the descriptors that connections to the
// directory may use.
const directoryConnShare = 0.25

// maxDirectoryConns returns the largest number of connections to the directory.
func (s *Settings) maxDirectoryConns() int { return int(float64(s.Descriptors) * directoryConnShare) }

// maxCallerConns returns the largest number of connections of callers.
func (s *Settings) maxCallerConns() int { return int(float64(s.Descriptors) * callerConnShare) }

// peerAddress returns the peer address of the daemon on the VM with the given IP
// address.
func (s *Settings) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(s.PeerPort)))
}

// ownIP returns the IP address of this VM, which is that of the caller listener.
func (s *Settings) ownIP() string {
	return netip.MustParseAddrPort(s.Listen.Caller).Addr().String()
}
