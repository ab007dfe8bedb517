package stand

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
	// DefaultReadLimit is the number of reads a second that the platform answers for all readers.
	DefaultReadLimit = 2000
	// MaxDocument is the size of the largest document in bytes.
	MaxDocument = 1 << 20
	// MaxWait is the longest time that a watch waits, whatever it asks for.
	MaxWait = 20 * time.Second
	// historyLimit bounds the documents and VM lists that are kept for stale and lagging reads.
	historyLimit = 64
)

// PlatformConfig holds the settings of a Platform.
type PlatformConfig struct {
	// Document is the first published document; nil publishes none.
	Document *conf.Document
	VMs      []wire.VM
	// ReadLimit is in reads a second; 0 means DefaultReadLimit.
	ReadLimit int
	// OperatorKey is the bearer key that the operators' endpoints ask for; empty asks for none.
	OperatorKey string
	Faults      PlatformFaults
}

// PlatformFaults are the faults of a Platform, set together.
type PlatformFaults struct {
	// Slow delays every read.
	Slow wire.Duration `json:"Slow,omitempty"`
	// Down answers every read with 503.
	Down bool `json:"Down,omitempty"`
	// Stale is the version that reads see whatever was published later; 0 means the newest.
	Stale uint64 `json:"Stale,omitempty"`
	// VMDelay is how far the VM list lags behind.
	VMDelay wire.Duration `json:"VMDelay,omitempty"`
}

type published struct {
	version uint64
	raw     []byte
}

type listed struct {
	at  time.Time
	vms []wire.VM
}

// Platform is the stand-in of the configuration service and the VM list. It is an http.Handler.
// Only operators write to it.
type Platform struct {
	config PlatformConfig
	mux    *http.ServeMux
	reads  *readCounter
	closed chan struct{}
	once   sync.Once

	mu        sync.Mutex
	faults    PlatformFaults
	documents []published
	lists     []listed
	changed   chan struct{}
}

// NewPlatform returns a platform that serves the document and the VMs of c.
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
	p.mux.HandleFunc("GET /v1/config", p.read(p.getConfig))
	p.mux.HandleFunc("GET /v1/vms", p.read(p.getVMs))
	p.mux.HandleFunc("GET /v1/reads", p.getReads)
	p.mux.HandleFunc("PUT /v1/config", p.operator(p.putConfig))
	p.mux.HandleFunc("PUT /v1/vms", p.operator(p.putVMs))
	p.mux.HandleFunc("POST /v1/faults", p.operator(p.postFaults))
	return p, nil
}

// ServeHTTP answers the requests of section 7.1 of the design page.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Close ends the waiting watches.
func (p *Platform) Close() {
	p.once.Do(func() { close(p.closed) })
}

// Publish makes d the newest document. Its version must be above the last one.
func (p *Platform) Publish(d *conf.Document) error {
	raw, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "stand: encode document")
	}
	return p.PublishRaw(raw)
}

// PublishRaw publishes the bytes of a document. Only the size and the version are checked, so
// that tests can publish a document that readers must refuse.
func (p *Platform) PublishRaw(raw []byte) error {
	if len(raw) > MaxDocument {
		return errors.Newf("stand: document of %d bytes is above %d", len(raw), MaxDocument)
	}
	var head struct {
		Version uint64 `json:"Version"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return errors.Wrap(err, "stand: decode document")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.newest(); head.Version <= last {
		return errors.Newf("stand: document version %d is not above %d", head.Version, last)
	}
	p.documents = append(p.documents, published{version: head.Version, raw: raw})
	if len(p.documents) > historyLimit {
		p.documents = p.documents[1:]
	}
	p.wake()
	return nil
}

// Version returns the newest published version, whatever the faults are.
func (p *Platform) Version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest()
}

// SetVMs replaces the VM list. Readers see it after the VMDelay fault.
func (p *Platform) SetVMs(vms []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, listed{at: time.Now(), vms: append([]wire.VM{}, vms...)})
	if len(p.lists) > historyLimit {
		p.lists = p.lists[1:]
	}
}

// VMs returns the newest VM list, whatever the faults are.
func (p *Platform) VMs() []wire.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]wire.VM{}, p.lists[len(p.lists)-1].vms...)
}

// SetFaults replaces all faults. Waiting watches see the change at once.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// Faults returns the faults in effect.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Reads returns what has been read so far.
func (p *Platform) Reads() Reads {
	return p.reads.snapshot()
}

func (p *Platform) newest() uint64 {
	if len(p.documents) == 0 {
		return 0
	}
	return p.documents[len(p.documents)-1].version
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the document that readers see, the faults, and a channel that is closed at the
// next change.
func (p *Platform) current() (published, PlatformFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var seen published
	for _, d := range p.documents {
		if p.faults.Stale == 0 || d.version <= p.faults.Stale {
			seen = d
		}
	}
	return seen, p.faults, p.changed
}
