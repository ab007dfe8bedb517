package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/guard"
)

const (
	// noteKindCrash and noteKindClear are the kinds of gossip notes about crashes and about later successes, and noteTTL
	// is how long nodes keep them.
	noteKindCrash = "crash"
	noteKindClear = "clear"
	noteTTL       = 10 * time.Minute
	// probeDelay is the wait before a probe. A crashing process may close its listening socket last.
	probeDelay = 20 * time.Millisecond
	// probeTimeout is the timeout for connecting. The host of a crashed process refuses the connection at once.
	probeTimeout = time.Second
)

// fingerprintOf returns the fingerprint of a request, which is the same for requests with equal host, method, URI
// and body.
func fingerprintOf(f *back.Forward) guard.Fingerprint {
	return guard.FingerprintOf(f.Host, f.Method+" "+f.URI, f.Body)
}

// recordAttempt updates the quarantine of poison requests with the result of an attempt. The caller holds n.mu.
func (n *Node) recordAttempt(now time.Time, c *call, server netip.AddrPort, outcome gather.Outcome, r back.Result) {
	switch {
	case outcome == gather.OK:
		if clear, ok := n.quarantine.Succeeded(now, c.fingerprint); ok {
			go n.publishNote(now, noteKindClear, clear.Fingerprint.String(), clear)
		}
	case outcome == gather.Broken && r.Refused:
		n.quarantine.ConnectionBroken(now, c.fingerprint, server, r.Opened)
		c.unclear = true
		if !n.probing[server] {
			n.probing[server] = true
			go n.probe(server)
		}
	case outcome == gather.Unsent && r.Refused:
		n.serverDown(now, server)
	}
}

// serverDown records a crash for each request that the server was running when it crashed, and publishes it to the
// other nodes. The caller holds n.mu.
func (n *Node) serverDown(now time.Time, server netip.AddrPort) {
	for _, note := range n.quarantine.ConnectionRefused(now, server) {
		n.log.Warn("request may have crashed a server", "Fingerprint", note.Fingerprint, "Server", server)
		n.metrics.Count("crashes")
		// Publish takes the lock of the fleet, and handlers of fleet events take n.mu: a call under n.mu could deadlock.
		go n.publishNote(now, noteKindCrash, crashID(note), note)
	}
}

// crashID identifies a crash among the notes. A further crash of the same server is a note of its own: nodes that start
// later need both, to tell a request that has crashed servers in two incidents.
func crashID(n guard.CrashNotice) string {
	return n.Fingerprint.String() + "/" + n.Crash.Server.String() + "/" + strconv.FormatInt(n.Crash.At.UnixNano(), 36)
}

// probe connects to a server that broke a connection, to detect a crash. Requests alone may detect it late, since
// they are sent to other servers after the failure.
func (n *Node) probe(server netip.AddrPort) {
	time.Sleep(probeDelay)
	now := time.Now()
	r := n.backend.Connect(context.Background(), server, now.Add(probeTimeout))
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.probing, server)
	if !r.Refused {
		return
	}
	now = time.Now()
	n.serverDown(now, server)
	if !r.Reset {
		n.logDecisions(nil, n.engine.ServerEnded(now, server))
	}
}

// publishNote publishes a crash or a success to the other nodes.
func (n *Node) publishNote(now time.Time, kind, id string, notice any) {
	body, err := json.Marshal(notice)
	if err == nil {
		err = n.peer.Publish(fleet.Note{ID: kind + "/" + id, Kind: kind, Body: body, Expires: now.Add(noteTTL).UTC()})
	}
	if err != nil {
		n.log.Warn("cannot publish a note to other nodes", "Kind", kind, "Note", id, "Error", err)
	}
}

// mergeNote adds a crash or a success that another node has published.
func (n *Node) mergeNote(note fleet.Note) {
	var err error
	switch note.Kind {
	case noteKindCrash:
		err = n.mergeCrash(note.Body)
	case noteKindClear:
		err = n.mergeClear(note.Body)
	}
	if err != nil {
		n.log.Warn("cannot decode a note", "Kind", note.Kind, "Note", note.ID, "Error", err)
	}
}

func (n *Node) mergeCrash(body []byte) error {
	var crash guard.CrashNotice
	if err := json.Unmarshal(body, &crash); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.quarantine.Merge(time.Now(), crash) {
		n.log.Info("crash reported by another node", "Fingerprint", crash.Fingerprint, "Server", crash.Crash.Server)
	}
	return nil
}

func (n *Node) mergeClear(body []byte) error {
	var clear guard.ClearNotice
	if err := json.Unmarshal(body, &clear); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quarantine.MergeClear(time.Now(), clear)
	return nil
}

// checkQuarantine reports whether a request is quarantined because it has crashed too many servers, and returns its
// result if so. A request on trial may run on one server only. The caller holds n.mu.
func (n *Node) checkQuarantine(now time.Time, c *call) (gather.Finished, bool) {
	var wait time.Duration
	if c.request == nil {
		// The requesting node has admitted it.
		wait = n.quarantine.RefusedFor(now, c.fingerprint)
	} else {
		rank := func() int { return guard.TrialRank(c.fingerprint, n.settings.Load().PeerAddress, n.livePeers) }
		c.trial, wait = n.quarantine.Admit(now, c.fingerprint, rank, c.job.Deadline)
	}
	if c.trial {
		n.log.Info("request that has crashed servers is tried on one", "RequestId", c.forward.RequestID, "Fingerprint", c.fingerprint)
		c.job.MaxAttempts = 1
	}
	if wait == 0 {
		return gather.Finished{}, false
	}
	return gather.Finished{
		End: gather.Refused, Total: len(c.job.Pools), RetryAfter: wait, Reason: "requests like this have crashed servers",
	}, true
}
