package fake

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

const (
	// DefaultReadLimit is the default limit of reads per second, summed over all readers.
	DefaultReadLimit = 2000
	// MaxDocument is the maximum size of a document in bytes.
	MaxDocument = 1 << 20
	// MaxWait is the maximum duration of a watch; longer requested durations are reduced to it.
	MaxWait = 20 * time.Second
	// historyLimit is the number of documents and of VM lists retained for stale and delayed reads.
	historyLimit = 64
)

// PlatformConfig holds the settings of a Platform.
type PlatformConfig struct {
	// Document is the initially published document; nil means none.
	Document *conf.Document
	VMs      []wire.VM
	// ReadLimit is the limit of reads per second; 0 means DefaultReadLimit.
	ReadLimit int
	// OperatorKey is the bearer key required by the operator endpoints; empty means that none is required.
	OperatorKey string
	Faults      PlatformFaults
}

// PlatformFaults holds all faults of a Platform.
type PlatformFaults struct {
	// Slow is the delay added to every read.
	Slow wire.Duration `json:"Slow,omitempty"`
	// Down makes every read fail with status 503.
	Down bool `json:"Down,omitempty"`
	// Stale is the highest version that reads return, ignoring later ones; 0 means the newest version.
	Stale uint64 `json:"Stale,omitempty"`
	// VMDelay is the delay after which a new VM list becomes visible to reads.
	VMDelay wire.Duration `json:"VMDelay,omitempty"`
}

type publishedDocument struct {
	version uint64
	raw     []byte
}

type vmListVersion struct {
	at  time.Time
	vms []wire.VM
}

// Platform is a stand-in for the configuration service and the VM list. It is an http.Handler.
// Only operators may write to it.
type Platform struct {
	config PlatformConfig
	mux    *http.ServeMux
	reads  *readCounter
	closed chan struct{}
	once   sync.Once

	mu        sync.Mutex
	faults    PlatformFaults
	documents []publishedDocument
	lists     []vmListVersion
	changed   chan struct{}
}

// NewPlatform returns a platform that serves the document and the VMs of c. It returns an error if the
// document can't be published.
func NewPlatform(c PlatformConfig) (*Platform, error) {
	if c.ReadLimit == 0 {
		c.ReadLimit = DefaultReadLimit
	}
	p := &Platform{
		config: c, mux: http.NewServeMux(), reads: newReadCounter(c.ReadLimit), closed: make(chan struct{}),
		faults: c.Faults, changed: make(chan struct{}),
	}
	p.SetVMs(c.VMs)
	if c.Document != nil {
		if err := p.Publish(c.Document); err != nil {
			return nil, err
		}
	}
	p.mux.HandleFunc("GET /v1/config", p.limitReads(p.getConfig))
	p.mux.HandleFunc("GET /v1/vms", p.limitReads(p.getVMs))
	p.mux.HandleFunc("GET /v1/reads", p.getReads)
	p.mux.HandleFunc("PUT /v1/config", p.requireOperator(p.putConfig))
	p.mux.HandleFunc("PUT /v1/vms", p.requireOperator(p.putVMs))
	p.mux.HandleFunc("POST /v1/faults", p.requireOperator(p.postFaults))
	return p, nil
}

// ServeHTTP handles the requests of section 7.1 of the design page.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Close ends all waiting watches.
func (p *Platform) Close() {
	p.once.Do(func() { close(p.closed) })
}

// Publish publishes d as the newest document. It returns an error if the version of d is not above the
// last published version or d is larger than MaxDocument.
func (p *Platform) Publish(d *conf.Document) error {
	raw, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "fake: encode document")
	}
	return p.PublishRaw(raw)
}

// PublishRaw publishes an encoded document. It validates only the size and the version, so that tests can
// publish documents that readers must reject.
func (p *Platform) PublishRaw(raw []byte) error {
	if len(raw) > MaxDocument {
		return errors.Newf("fake: document of %d bytes exceeds the limit of %d bytes", len(raw), MaxDocument)
	}
	var header struct {
		Version uint64 `json:"Version"`
	}
	if err := json.Unmarshal(raw, &header); err != nil {
		return errors.Wrap(err, "fake: decode document")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.newestVersion(); header.Version <= last {
		return errors.Newf("fake: document version %d is not above the current version %d", header.Version, last)
	}
	p.documents = append(p.documents, publishedDocument{version: header.Version, raw: raw})
	if len(p.documents) > historyLimit {
		p.documents = p.documents[1:]
	}
	p.notifyWatchers()
	return nil
}

// Version returns the newest published version, regardless of faults.
func (p *Platform) Version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newestVersion()
}

// SetVMs replaces the VM list. Reads return the new list after PlatformFaults.VMDelay.
func (p *Platform) SetVMs(vms []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, vmListVersion{at: time.Now(), vms: append([]wire.VM{}, vms...)})
	if len(p.lists) > historyLimit {
		p.lists = p.lists[1:]
	}
}

// VMs returns the newest VM list, regardless of faults.
func (p *Platform) VMs() []wire.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]wire.VM{}, p.lists[len(p.lists)-1].vms...)
}

// SetFaults replaces all faults. The change applies to waiting watches immediately.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatchers()
}

// Faults returns the faults in effect.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Reads returns the read counters.
func (p *Platform) Reads() Reads {
	return p.reads.snapshot()
}

func (p *Platform) newestVersion() uint64 {
	if len(p.documents) == 0 {
		return 0
	}
	return p.documents[len(p.documents)-1].version
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visibleDocument returns the document that reads return under the current faults, the faults, and a
// channel that is closed at the next change.
func (p *Platform) visibleDocument() (publishedDocument, PlatformFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var visible publishedDocument
	for _, d := range p.documents {
		if p.faults.Stale == 0 || d.version <= p.faults.Stale {
			visible = d
		}
	}
	return visible, p.faults, p.changed
}
