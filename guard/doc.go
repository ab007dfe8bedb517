// Package guard limits the damage of poison requests, which crash backend servers. A request that has
// not succeeded recently runs on a single server first, as a canary, and one that has crashed two
// servers is quarantined for a limited time. It reads no clock and does no input or output.
//
// The lease holder of a fingerprint calls Begin for each request. After RunCanary it picks a server
// for which CanRunCanary returns true, and which runs no other request if Decision.Exclusive is set. It sends one
// shard request or the order, and reports the result with Succeeded, Crashed or CanaryEnded. Each of these
// returns the requests that waited for the canary, for which Begin must be called again, and a poison mark
// that the peers apply with Merge.
//
// A fingerprint crashes at most two servers before its first quarantine and one after each
// quarantine, provided that its lease stays with one node or moves only after the marks have arrived
// at the new holder, and that a server ends a canceled request within Config.SuspectFor. Each crash of
// a server must also be reported to ServerCrashed, however it was detected, for instance by a refused
// connection, so that it is attributed to canaries whose caller has canceled the request.
package guard
