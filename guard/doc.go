// Package guard limits the damage of requests that crash backend servers. A request that has not
// succeeded lately runs on one server first, and one that has crashed two servers is refused for
// a time. It reads no clock and does no input or output.
//
// The canary home calls Begin for each request. After RunCanary it picks a server for which Fits is
// true, with no other request on it if the decision says Alone, sends one shard request or the
// order, and reports its end with Succeeded, Crashed or Ended. A report returns the requests that
// waited, which call Begin again, and a note for the peers, which include it with Merge.
//
// At most two servers are lost to a fingerprint before its quarantine and one after each, as long
// as the home of the fingerprint stays the same or moves after its notes have arrived, and as a
// server ends a canceled request within Config.SuspectFor. Each crash of a server goes to
// ServerCrashed too, by whatever it was found, for instance a refused connection, so that a canary
// whose caller has left is blamed for it.
package guard
