package serve

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/peer"
	"github.com/arbutusthread/arbutusthread/query"
)

// historyLength is the number of documents kept for computing deltas. At one change every 2 s it covers a peer that
// was disconnected for half a minute.
const historyLength = 16

// installRaw parses a document from the platform and installs it.
func (n *Node) installRaw(raw []byte) error {
	doc, err := conf.ParseDocument(raw)
	if err != nil {
		return errors.Wrap(err, "serve: configuration from the platform")
	}
	return n.install(doc, "platform")
}

// install activates a document if it is valid and newer than the active one. An invalid document changes nothing, and
// its error is reported in the status until a valid document is installed.
func (n *Node) install(doc *conf.Document, from string) error {
	n.installMu.Lock()
	defer n.installMu.Unlock()
	err := n.installLocked(doc)
	switch {
	case err == nil:
		n.configFault.Store(nil)
		n.log.Info("configuration activated", "Version", doc.Version, "Preset", doc.Preset, "From", from)
		n.metrics.SetGauge("config_version", float64(doc.Version))
	case errors.Is(err, fleet.ErrStale):
		n.log.Debug("older configuration ignored", "Version", doc.Version, "From", from)
	default:
		n.rejectConfig(doc.Version, from, err)
	}
	return err
}

func (n *Node) installLocked(doc *conf.Document) error {
	if err := doc.Check().Err(); err != nil {
		return err
	}
	hash := conf.Hash(doc)
	if old := n.active.Load(); old != nil && old.catalog.Document.Version == doc.Version && old.hash == hash {
		return nil
	}
	if err := n.peer.Install(doc, hash); err != nil {
		return err
	}
	v := &activeConfig{catalog: query.NewCatalog(doc), callers: conf.NewCallerIndex(doc), hash: hash}
	n.history = append(n.history, v)
	if len(n.history) > historyLength {
		n.history = n.history[1:]
	}
	n.active.Store(v)
	n.holders.update()
	return nil
}

func (n *Node) rejectConfig(version uint64, from string, err error) {
	text := err.Error()
	n.configFault.Store(&text)
	n.metrics.Count("config_refused")
	n.log.Error("configuration rejected, the last valid one stays active", "Version", version, "From", from, "Error", text)
}

// documentSince returns the active configuration for a peer: a delta if the peer's version and hash are in the history,
// otherwise the full document.
func (n *Node) documentSince(from uint64, hash string) (peer.Document, error) {
	n.installMu.Lock()
	defer n.installMu.Unlock()
	now := n.active.Load()
	if now == nil {
		return peer.Document{}, errors.New("serve: no configuration installed yet")
	}
	doc := now.catalog.Document
	out := peer.Document{Version: doc.Version, Hash: now.hash}
	var body any = doc
	for _, old := range n.history {
		if from != 0 && old.catalog.Document.Version == from && old.hash == hash {
			body, out.From = conf.Diff(old.catalog.Document, doc), from
		}
	}
	raw, err := json.Marshal(body)
	out.Body = raw
	return out, errors.Wrap(err, "serve: encode configuration")
}

// installPulled installs a document or delta received from a peer after checking the hash of the result.
func (n *Node) installPulled(d peer.Document) error {
	doc, err := n.decodePulled(d)
	if err != nil {
		return err
	}
	if got := conf.Hash(doc); got != d.Hash {
		return errors.Newf("serve: configuration %d from a peer has hash %s, expected %s", doc.Version, got, d.Hash)
	}
	return n.install(doc, "peer")
}

func (n *Node) decodePulled(d peer.Document) (*conf.Document, error) {
	if d.From == 0 {
		doc, err := conf.ParseDocument(d.Body)
		return doc, errors.Wrap(err, "serve: configuration from a peer")
	}
	delta, err := conf.ParseDelta(d.Body)
	if err != nil {
		return nil, errors.Wrap(err, "serve: delta from a peer")
	}
	now := n.active.Load()
	if now == nil || now.catalog.Document.Version != d.From {
		return nil, errors.Newf("serve: delta from version %d does not match the active version", d.From)
	}
	doc, err := delta.Apply(now.catalog.Document)
	return doc, errors.Wrap(err, "serve: apply delta")
}
