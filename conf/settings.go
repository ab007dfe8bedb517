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

// Settings are what one node is started with. They do not change while it runs, but for the
// contents of the certificate files.
type Settings struct {
	Name          string `json:"Name"`
	FailureDomain string `json:"FailureDomain"`
	Region        string `json:"Region"`
	// CallerAddress serves callers and is what they are told to connect to.
	CallerAddress netip.AddrPort `json:"CallerAddress"`
	// PeerAddress serves other nodes on TCP and UDP. It identifies the node in the fleet and in
	// the platform's list of VMs.
	PeerAddress netip.AddrPort `json:"PeerAddress"`
	// OpsAddress serves operators.
	OpsAddress netip.AddrPort `json:"OpsAddress"`
	// Platform is the base URL of the configuration service and the list of VMs.
	Platform string `json:"Platform"`
	// PlatformForm is PlatformDocuments or PlatformStore; only nodes that serve routes alone may use
	// the second.
	PlatformForm string `json:"PlatformForm,omitempty"`
	// FleetKeys are hex keys of at least 16 bytes that all nodes share. The first one signs; all
	// verify, so that a key can be replaced without a stop.
	FleetKeys []string `json:"FleetKeys"`
	TLS       TLS      `json:"TLS,omitzero"`
	Limits    Limits   `json:"Limits,omitzero"`
	Log       Log      `json:"Log,omitzero"`
	// KeepFor is how long callers may keep an answer with addresses, 5 s by default. A stopping
	// node relays for this time.
	KeepFor wire.Duration `json:"KeepFor,omitempty"`
	// Seeds are addresses of nodes at which others are found. Only their IP addresses count; the
	// port is that of PeerAddress.
	Seeds []netip.AddrPort `json:"Seeds,omitempty"`
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool `json:"FirstStart,omitempty"`
	// DirectoryAddress tells callers which addresses to use, ReadyAddress whether this node is
	// ready, and MetricsAddress serves metrics. They are used on deployments that ask for them.
	DirectoryAddress netip.AddrPort `json:"DirectoryAddress,omitzero"`
	ReadyAddress     netip.AddrPort `json:"ReadyAddress,omitzero"`
	MetricsAddress   netip.AddrPort `json:"MetricsAddress,omitzero"`
	Bounds           Bounds         `json:"Bounds,omitzero"`
	Capacity         Capacity       `json:"Capacity,omitzero"`
}

// Capacity is what the node's VM has. It decides how many callers the node is given.
type Capacity struct {
	// Cores is the number of cores that the process may use.
	Cores float64 `json:"Cores,omitempty"`
	// LinkMbps is the speed of the VM's link in megabits a second.
	LinkMbps float64 `json:"LinkMbps,omitempty"`
}

const (
	// coresPerWeight and linkPerWeight are the cores and megabits a second of a node of weight 1.
	// They are in the ratio that a gather of 90 shards uses: about 7 ms of a core and 110 KB.
	coresPerWeight = 0.1
	linkPerWeight  = 12.5
)

// Weight returns the capacity of the node relative to others, at least 1.
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

// Forms of a platform: one that publishes documents with all that a node needs, and a metadata store
// with an entry for each backend server.
const (
	PlatformDocuments = "Documents"
	PlatformStore     = "Store"
)

// Bounds are what all nodes of a fleet keep to together.
type Bounds struct {
	// RetryRatio times the requests of a service in RetryWindow, plus RetrySlack, bounds the extra
	// arrivals at the service's servers. A RetryWindow of 0 means no bound.
	RetryRatio  float64       `json:"RetryRatio,omitempty"`
	RetrySlack  float64       `json:"RetrySlack,omitempty"`
	RetryWindow wire.Duration `json:"RetryWindow,omitempty"`
	// ColdOvershoot times the rate that a cold server bears, plus ColdSlack, bounds its requests in
	// any second.
	ColdOvershoot float64 `json:"ColdOvershoot,omitempty"`
	ColdSlack     float64 `json:"ColdSlack,omitempty"`
	// ApplyTime is the time in which a change of the configuration or of the servers must be in
	// force; 0 means 5 s.
	ApplyTime wire.Duration `json:"ApplyTime,omitempty"`
	// StopTime is how long a node may take to stop.
	StopTime wire.Duration `json:"StopTime,omitempty"`
}

// TLS names the PEM files of the listeners. Certificate and Key belong together; without them
// the listeners use plain TCP. CA verifies other nodes; when it is empty the system's
// authorities do.
type TLS struct {
	Certificate string `json:"Certificate,omitempty"`
	Key         string `json:"Key,omitempty"`
	CA          string `json:"CA,omitempty"`
}

// Enabled reports whether listeners use TLS.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// Limits bound what one node accepts and keeps. Zero values are replaced by defaults.
type Limits struct {
	// BodyBytes is the size of a caller's body, 256 KiB by default.
	BodyBytes int `json:"BodyBytes,omitempty"`
	// AnswerBytes is the size of one backend server's answer, 4 MiB by default.
	AnswerBytes int `json:"AnswerBytes,omitempty"`
	// TopK is the most hits that a query may ask for, 1,000 by default.
	TopK int `json:"TopK,omitempty"`
	// CallerConnections is the number of open connections of callers, 10,000 by default.
	CallerConnections int `json:"CallerConnections,omitempty"`
	// OrderKeyBatch is the most order keys that one request is given, 100 by default.
	OrderKeyBatch int `json:"OrderKeyBatch,omitempty"`
	// OrderKeys is the number of order keys that the node keeps, 100,000 by default.
	OrderKeys int `json:"OrderKeys,omitempty"`
	// Decisions is the number of decisions kept for the operators' API, 10,000 by default.
	Decisions int `json:"Decisions,omitempty"`
}

// Log controls the structured log.
type Log struct {
	// Level is DEBUG, INFO, WARN or ERROR; INFO by default.
	Level string `json:"Level,omitempty"`
	// DecisionSample is the share of requests whose decisions are logged; nil means all.
	DecisionSample *float64 `json:"DecisionSample,omitempty"`
}

// SlogLevel returns the level for log/slog.
func (l Log) SlogLevel() slog.Level {
	var v slog.Level
	if err := v.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo
	}
	return v
}

// Sample returns the share of requests whose decisions are logged.
func (l Log) Sample() float64 {
	if l.DecisionSample == nil {
		return 1
	}
	return *l.DecisionSample
}

// Defaults and limits of settings.
const (
	DefaultKeepFor           = 5 * time.Second
	MinKeepFor               = 100 * time.Millisecond
	MaxKeepFor               = time.Minute
	DefaultBodyBytes         = 256 << 10
	DefaultAnswerBytes       = 4 << 20
	DefaultTopK              = 1_000
	DefaultCallerConnections = 10_000
	DefaultOrderKeyBatch     = 100
	DefaultOrderKeys         = 100_000
	DefaultDecisions         = 10_000
	// MinFleetKeyBytes is half the output of HMAC-SHA-256, the least that RFC 2104 advises.
	MinFleetKeyBytes = 16
	MaxFleetKeyBytes = 64
	MaxFleetKeys     = 4
	// Limits of bounds and capacities, which only keep a mistake in the unit from taking effect.
	maxRetryRatio    = 10.0
	maxRetrySlack    = 1e6
	maxColdOvershoot = 100.0
	maxBoundTime     = time.Hour
	maxCores         = 4096.0
	maxLinkMbps      = 1e6
	maxLimitBytes    = 64 << 20
	maxLimitEntries  = 10_000_000
)

// setDefaults leaves negative values for Check to report.
func (s *Settings) setDefaults() {
	option.Default(&s.KeepFor, wire.Duration(DefaultKeepFor))
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
}

// Check returns every fault of the settings. It reads no files.
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
	between(&c.faults, "Capacity.Cores", s.Capacity.Cores, 0, maxCores)
	between(&c.faults, "Capacity.LinkMbps", s.Capacity.LinkMbps, 0, maxLinkMbps)
	c.fleetKeys(s.FleetKeys)
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		c.faults.add("TLS", "must have both Certificate and Key, or neither")
	}
	c.limits(s.Limits)
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		c.faults.add("Log.Level", "must be DEBUG, INFO, WARN or ERROR")
	}
	between(&c.faults, "Log.DecisionSample", s.Log.Sample(), 0, 1)
	if k := s.KeepFor.Std(); k < MinKeepFor || k > MaxKeepFor {
		c.faults.add("KeepFor", "must be between %v and %v", MinKeepFor, MaxKeepFor)
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
		between(&c.faults, field("Bounds", x.path), x.value, 0, x.high)
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
			c.faults.add(element("FleetKeys", i), "must be %d to %d bytes in hex", MinFleetKeyBytes, MaxFleetKeyBytes)
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
		between(&c.faults, field("Limits", x.path), x.value, 1, x.high)
	}
}

// Keys returns the fleet keys as bytes, the signing key first. Check guarantees that they decode.
func (s *Settings) Keys() [][]byte {
	keys := make([][]byte, 0, len(s.FleetKeys))
	for _, k := range s.FleetKeys {
		if raw, err := hex.DecodeString(k); err == nil {
			keys = append(keys, raw)
		}
	}
	return keys
}
