package conf

import (
	"encoding/hex"
	"log/slog"
	"math"
	"net/netip"
	"net/url"
	"time"

	"github.com/arbutusthread/arbutusthread/option"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Settings are the start-up settings of one node. Only the contents of the certificate files may change while
// it runs.
type Settings struct {
	Name          string `json:"Name"`
	FailureDomain string `json:"FailureDomain"`
	Region        string `json:"Region"`
	// CallerAddress serves callers; directory answers contain it.
	CallerAddress netip.AddrPort `json:"CallerAddress"`
	// PeerAddress serves other nodes on TCP and UDP. It identifies the node in the fleet and in
	// the platform's list of VMs.
	PeerAddress netip.AddrPort `json:"PeerAddress"`
	// OpsAddress serves operators.
	OpsAddress netip.AddrPort `json:"OpsAddress"`
	// Platform is the base URL of the configuration service and of the list of VMs.
	Platform string `json:"Platform"`
	// PlatformForm is PlatformDocuments or PlatformStore; only nodes that serve nothing but routes may use
	// PlatformStore.
	PlatformForm string `json:"PlatformForm,omitempty"`
	// FleetKeys are hex keys of at least 16 bytes that all nodes share. The first key signs and all keys
	// verify, so that keys can be rotated without downtime.
	FleetKeys []string `json:"FleetKeys"`
	TLS       TLS      `json:"TLS,omitzero"`
	Limits    Limits   `json:"Limits,omitzero"`
	Log       Log      `json:"Log,omitzero"`
	// AddressTTL is how long callers may cache an answer with addresses, 5 s by default. A stopping
	// node relays requests for this time.
	AddressTTL wire.Duration `json:"KeepFor,omitempty"`
	// Seeds are addresses of nodes that a starting node contacts to discover the fleet. Only their IP
	// addresses are used; the port is that of PeerAddress.
	Seeds []netip.AddrPort `json:"Seeds,omitempty"`
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool `json:"FirstStart,omitempty"`
	// DirectoryAddress serves the addresses for callers, ReadyAddress the readiness of this node, and
	// MetricsAddress its metrics. They are used only in deployments that need them.
	DirectoryAddress netip.AddrPort `json:"DirectoryAddress,omitzero"`
	ReadyAddress     netip.AddrPort `json:"ReadyAddress,omitzero"`
	MetricsAddress   netip.AddrPort `json:"MetricsAddress,omitzero"`
	Bounds           Bounds         `json:"Bounds,omitzero"`
	Capacity         Capacity       `json:"Capacity,omitzero"`
}

// Capacity is the capacity of the node's VM. It determines the share of callers that are sent to the node, how many
// shards of a large request it sends for other nodes, and what its clients may use.
type Capacity struct {
	// Cores is the number of cores that the process may use.
	Cores float64 `json:"Cores,omitempty"`
	// LinkMbps is the bandwidth of the VM's network link in megabits a second.
	LinkMbps float64 `json:"LinkMbps,omitempty"`
	// MemoryMB is the memory that the process may use in MiB, 256 by default.
	MemoryMB float64 `json:"MemoryMB,omitempty"`
	// Descriptors is the maximum number of open files and sockets of the process, 4,096 by default.
	Descriptors int `json:"Descriptors,omitempty"`
}

const (
	// coresPerWeight and linkPerWeight are the cores and megabits a second of a node of weight 1. Their
	// ratio is that of the resources that a gather of 90 shards uses: about 7 ms of a core and 110 KB.
	coresPerWeight = 0.1
	linkPerWeight  = 12.5
)

// Weight returns the weight of the node for load balancing, which is at least 1. The scarcer of cores and
// bandwidth determines it.
func (c Capacity) Weight() int {
	weight := math.Inf(1)
	if c.Cores > 0 {
		weight = c.Cores / coresPerWeight
	}
	if c.LinkMbps > 0 {
		weight = min(weight, c.LinkMbps/linkPerWeight)
	}
	if math.IsInf(weight, 1) {
		return 1
	}
	return max(1, int(weight))
}

// Millicores returns the processor capacity in thousandths of a core, 0 if it is not set.
func (c Capacity) Millicores() int { return int(math.Ceil(c.Cores * 1000)) }

// Forms of a platform: PlatformDocuments publishes documents with all data that a node needs, and PlatformStore
// is a metadata store with an entry for each backend server.
const (
	PlatformDocuments = "Documents"
	PlatformStore     = "Store"
)

// Bounds are limits for all nodes of a fleet together.
type Bounds struct {
	// RetryRatio times the requests of a service in RetryWindow, plus RetrySlack, bounds the extra
	// arrivals at the service's servers. A RetryWindow of 0 means no bound.
	RetryRatio  float64       `json:"RetryRatio,omitempty"`
	RetrySlack  float64       `json:"RetrySlack,omitempty"`
	RetryWindow wire.Duration `json:"RetryWindow,omitempty"`
	// ColdOvershoot times the cold rate of a server, plus ColdSlack, bounds the requests to a cold server
	// in any second.
	ColdOvershoot float64 `json:"ColdOvershoot,omitempty"`
	ColdSlack     float64 `json:"ColdSlack,omitempty"`
	// ApplyTime is the time within which a change of the configuration or of the servers must take
	// effect; 0 means 5 s.
	ApplyTime wire.Duration `json:"ApplyTime,omitempty"`
	// StopTime is the time within which a node must stop.
	StopTime wire.Duration `json:"StopTime,omitempty"`
}

// TLS holds the paths of PEM files. Certificate and Key must be set together; without them the listeners use
// plain TCP. CA verifies other nodes; if it is empty, the system's certificate authorities are used.
type TLS struct {
	Certificate string `json:"Certificate,omitempty"`
	Key         string `json:"Key,omitempty"`
	CA          string `json:"CA,omitempty"`
}

// Enabled reports whether listeners use TLS.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// Limits are the resource limits of one node. Zero values are replaced by defaults.
type Limits struct {
	// BodyBytes is the maximum size of a caller's request body, 256 KiB by default.
	BodyBytes int `json:"BodyBytes,omitempty"`
	// AnswerBytes is the maximum size of one backend server's answer, 4 MiB by default.
	AnswerBytes int `json:"AnswerBytes,omitempty"`
	// TopK is the maximum number of hits of a query, 1,000 by default.
	TopK int `json:"TopK,omitempty"`
	// CallerConnections is the maximum number of open connections of callers, 10,000 by default.
	CallerConnections int `json:"CallerConnections,omitempty"`
	// OrderKeyBatch is the maximum number of order keys issued for one request, 100 by default.
	OrderKeyBatch int `json:"OrderKeyBatch,omitempty"`
	// OrderKeys is the maximum number of order keys that the node keeps, 100,000 by default.
	OrderKeys int `json:"OrderKeys,omitempty"`
	// Decisions is the maximum number of decisions kept for the operators' API, 10,000 by default.
	Decisions int `json:"Decisions,omitempty"`
}

// Log controls the structured log.
type Log struct {
	// Level is DEBUG, INFO, WARN or ERROR; INFO by default.
	Level string `json:"Level,omitempty"`
	// DecisionSample is the fraction of requests whose decisions are logged; nil means all.
	DecisionSample *float64 `json:"DecisionSample,omitempty"`
}

// SlogLevel returns the level for log/slog, or INFO if Level is not valid.
func (l Log) SlogLevel() slog.Level {
	var v slog.Level
	if err := v.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo
	}
	return v
}

// Sample returns the fraction of requests whose decisions are logged.
func (l Log) Sample() float64 {
	if l.DecisionSample == nil {
		return 1
	}
	return *l.DecisionSample
}

// Defaults and limits of settings.
const (
	DefaultAddressTTL        = 5 * time.Second
	MinAddressTTL            = 100 * time.Millisecond
	MaxAddressTTL            = time.Minute
	DefaultBodyBytes         = 256 << 10
	DefaultAnswerBytes       = 4 << 20
	DefaultTopK              = 1_000
	DefaultCallerConnections = 10_000
	DefaultOrderKeyBatch     = 100
	DefaultOrderKeys         = 100_000
	DefaultDecisions         = 10_000
	DefaultMemoryMB          = 256
	DefaultDescriptors       = 4_096
	// MinMemoryMB and MinDescriptors are what a node without callers needs, with room for one request at the limits.
	MinMemoryMB    = 64
	MaxMemoryMB    = 1 << 20
	MinDescriptors = 128
	MaxDescriptors = 1 << 20
	// MinFleetKeyBytes is half the output length of HMAC-SHA-256, the minimum that RFC 2104 recommends.
	MinFleetKeyBytes = 16
	MaxFleetKeyBytes = 64
	MaxFleetKeys     = 4
	// Limits of bounds and capacities, whose only purpose is to reject values in a wrong unit.
	maxRetryRatio    = 10.0
	maxRetrySlack    = 1e6
	maxColdOvershoot = 100.0
	maxBoundTime     = time.Hour
	maxCores         = 4096.0
	maxLinkMbps      = 1e6
	maxLimitBytes    = 64 << 20
	maxLimitEntries  = 10_000_000
)

// setDefaults replaces zero values by defaults. It keeps negative values, which Check reports.
func (s *Settings) setDefaults() {
	option.Default(&s.AddressTTL, wire.Duration(DefaultAddressTTL))
	option.Default(&s.PlatformForm, PlatformDocuments)
	option.Default(&s.Log.Level, slog.LevelInfo.String())
	l := &s.Limits
	option.Default(&l.BodyBytes, DefaultBodyBytes)
	option.Default(&l.AnswerBytes, DefaultAnswerBytes)
	option.Default(&l.TopK, DefaultTopK)
	option.Default(&l.CallerConnections, DefaultCallerConnections)
	option.Default(&l.OrderKeyBatch, DefaultOrderKeyBatch)
	option.Default(&l.OrderKeys, DefaultOrderKeys)
	option.Default(&l.Decisions, DefaultDecisions)
	option.Default(&s.Capacity.MemoryMB, DefaultMemoryMB)
	option.Default(&s.Capacity.Descriptors, DefaultDescriptors)
}

// Check returns all faults of the settings. It reads no files.
func (s *Settings) Check() Faults {
	c := &checker{}
	c.identifier("Name", s.Name)
	c.text("FailureDomain", s.FailureDomain)
	c.text("Region", s.Region)
	addresses := distinct[netip.AddrPort]{}
	for _, x := range []struct {
		path    string
		address netip.AddrPort
	}{{"CallerAddress", s.CallerAddress}, {"PeerAddress", s.PeerAddress}, {"OpsAddress", s.OpsAddress}} {
		if !isUsable(x.address) {
			c.faults.add(x.path, "must be an IP address with a port that others can connect to")
			continue
		}
		addresses.check(&c.faults, x.path, x.address)
	}
	c.platform(s.Platform)
	if s.PlatformForm != PlatformDocuments && s.PlatformForm != PlatformStore {
		c.faults.add("PlatformForm", "must be %s or %s", PlatformDocuments, PlatformStore)
	}
	for _, x := range []struct {
		path    string
		address netip.AddrPort
	}{
		{"DirectoryAddress", s.DirectoryAddress}, {"ReadyAddress", s.ReadyAddress}, {"MetricsAddress", s.MetricsAddress},
	} {
		if x.address.IsValid() {
			addresses.check(&c.faults, x.path, x.address)
		}
	}
	c.bounds(s.Bounds)
	checkRange(&c.faults, "Capacity.Cores", s.Capacity.Cores, 0, maxCores)
	checkRange(&c.faults, "Capacity.LinkMbps", s.Capacity.LinkMbps, 0, maxLinkMbps)
	checkRange(&c.faults, "Capacity.MemoryMB", s.Capacity.MemoryMB, MinMemoryMB, MaxMemoryMB)
	checkRange(&c.faults, "Capacity.Descriptors", s.Capacity.Descriptors, MinDescriptors, MaxDescriptors)
	c.fleetKeys(s.FleetKeys)
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		c.faults.add("TLS", "must have both Certificate and Key, or neither")
	}
	c.limits(s.Limits)
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		c.faults.add("Log.Level", "must be DEBUG, INFO, WARN or ERROR")
	}
	checkRange(&c.faults, "Log.DecisionSample", s.Log.Sample(), 0, 1)
	if k := s.AddressTTL.Std(); k < MinAddressTTL || k > MaxAddressTTL {
		c.faults.add("KeepFor", "must be between %v and %v", MinAddressTTL, MaxAddressTTL)
	}
	return c.faults
}

func (c *checker) bounds(b Bounds) {
	for _, x := range []struct {
		path        string
		value, high float64
	}{
		{"RetryRatio", b.RetryRatio, maxRetryRatio},
		{"RetrySlack", b.RetrySlack, maxRetrySlack},
		{"RetryWindow", b.RetryWindow.Std().Seconds(), maxBoundTime.Seconds()},
		{"ColdOvershoot", b.ColdOvershoot, maxColdOvershoot},
		{"ColdSlack", b.ColdSlack, maxRetrySlack},
		{"ApplyTime", b.ApplyTime.Std().Seconds(), maxBoundTime.Seconds()},
		{"StopTime", b.StopTime.Std().Seconds(), maxBoundTime.Seconds()},
	} {
		checkRange(&c.faults, fieldPath("Bounds", x.path), x.value, 0, x.high)
	}
}

func (c *checker) platform(base string) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.faults.add("Platform", "must be an http or https URL with a host")
		return
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.faults.add("Platform", "must have no user, query or fragment")
	}
}

func (c *checker) fleetKeys(keys []string) {
	c.count("FleetKeys", len(keys), 1, MaxFleetKeys)
	for i, k := range keys {
		raw, err := hex.DecodeString(k)
		if err != nil || len(raw) < MinFleetKeyBytes || len(raw) > MaxFleetKeyBytes {
			c.faults.add(indexPath("FleetKeys", i), "must be %d to %d bytes in hex", MinFleetKeyBytes, MaxFleetKeyBytes)
		}
	}
}

func (c *checker) limits(l Limits) {
	for _, x := range []struct {
		path  string
		value int
		high  int
	}{
		{"BodyBytes", l.BodyBytes, maxLimitBytes},
		{"AnswerBytes", l.AnswerBytes, maxLimitBytes},
		{"TopK", l.TopK, maxLimitEntries},
		{"CallerConnections", l.CallerConnections, maxLimitEntries},
		{"OrderKeyBatch", l.OrderKeyBatch, maxLimitEntries},
		{"OrderKeys", l.OrderKeys, maxLimitEntries},
		{"Decisions", l.Decisions, maxLimitEntries},
	} {
		checkRange(&c.faults, fieldPath("Limits", x.path), x.value, 1, x.high)
	}
}

// Keys returns the decoded fleet keys, the signing key first. It omits keys that are not valid hex, which Check
// reports.
func (s *Settings) Keys() [][]byte {
	keys := make([][]byte, 0, len(s.FleetKeys))
	for _, k := range s.FleetKeys {
		if raw, err := hex.DecodeString(k); err == nil {
			keys = append(keys, raw)
		}
	}
	return keys
}
