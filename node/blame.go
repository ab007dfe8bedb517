package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/guard"
)

const (
	// noteCrash is the kind of notes about crashes, and noteTime how long nodes keep them.
	noteCrash = "crash"
	noteTime  = 10 * time.Minute
	// probeDelay lets a process that crashes close its listening socket, which may be the last.
	probeDelay = 20 * time.Millisecond
	// probeTimeout is the longest wait for the connection. A crashed process refuses it at once.
	probeTimeout = time.Second
)

// fingerprint identifies requests that are equal in host, method, path and body.
func fingerprint(f *back.Forward) guard.Fingerprint {
	return guard.FingerprintOf(f.Host, f.Method+" "+f.URI, f.Body)
}

// blameAttempt records what the end of an attempt tells about requests that crash servers. The caller
// holds n.mu.
func (n *Node) blameAttempt(now time.Time, c *call, server netip.AddrPort, class gather.Class, r back.Result) {
	switch {
	case class == gather.OK:
		n.blame.Succeeded(now, c.print)
	case class == gather.Broken && r.Refused:
		n.blame.Broke(now, c.print, server)
		if !n.probed[server] {
			n.probed[server] = true
			go n.probe(server)
		}
	case class == gather.Unsent && r.Refused:
		n.serverDown(now, server)
	}
}

// serverDown blames what a server was running for its crash. The caller holds n.mu.
func (n *Node) serverDown(now time.Time, server netip.AddrPort) {
	for _, note := range n.blame.Down(now, server) {
		n.log.Warn("request may have crashed a server", "Fingerprint", note.Fingerprint, "Server", server)
		n.metrics.Count("crashes")
		// Publishing takes the lock of the fleet, whose events take that of the node.
		go n.publishCrash(now, note)
	}
}

// probe finds out whether a server that broke a connection has crashed. Requests alone may find out
// late, since they go to other servers then.
func (n *Node) probe(server netip.AddrPort) {
	time.Sleep(probeDelay)
	now := time.Now()
	r := n.backend.Connect(context.Background(), server, now.Add(probeTimeout))
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.probed, server)
	if r.Refused {
		n.serverDown(time.Now(), server)
	}
}

func (n *Node) publishCrash(now time.Time, note guard.CrashNote) {
	body, err := json.Marshal(note)
	if err == nil {
		err = n.peer.Publish(fleet.Note{
			ID:   noteCrash + "/" + note.Fingerprint.String() + "/" + note.Crash.Server.String(),
			Kind: noteCrash, Body: body, Expires: now.Add(noteTime).UTC(),
		})
	}
	if err != nil {
		n.log.Warn("crash cannot be told to other nodes", "Fingerprint", note.Fingerprint, "Error", err)
	}
}

// noted includes a crash that another node has seen.
func (n *Node) noted(k fleet.Note) {
	if k.Kind != noteCrash {
		return
	}
	var note guard.CrashNote
	if err := json.Unmarshal(k.Body, &note); err != nil {
		n.log.Warn("note of a crash cannot be read", "Note", k.ID, "Error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blame.Merge(time.Now(), note) {
		n.log.Info("another node has seen a crash", "Fingerprint", note.Fingerprint, "Server", note.Crash.Server)
	}
}

// refuses reports whether a request has crashed too many servers, and ends it if so. The caller holds
// n.mu.
func (n *Node) refuses(now time.Time, c *call) (gather.Finished, bool) {
	wait := n.blame.Refuses(now, c.print)
	if wait == 0 {
		return gather.Finished{}, false
	}
	return gather.Finished{
		End: gather.Refused, Total: len(c.job.Pools), RetryAfter: wait, Reason: "requests like this have crashed servers",
	}, true
}
