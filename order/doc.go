// Package order issues order keys, which are idempotency keys, and holds the table of the keys of one
// issuer, so that the order under each key runs at most once without shared storage. It reads no clock
// and does no input or output.
//
// Any node can parse a key with Signer.Parse and relay the order to Key.Issuer. The issuer calls
// Table.Start and dispatches the order only when Outcome.Dispatch is set. It then reports the result of
// the attempt with one of four methods:
//
//   - Finish: the backend server has answered.
//   - Retry: the attempt has certainly not run and another replica may be tried.
//   - Close: the attempt has certainly not run and there is no further attempt.
//   - MarkUnknown: the attempt may have run. A late Finish or Close still decides the outcome.
//
// A repeated request with a Running key waits for Outcome.Settled and then calls LookUp.
//
// If a key is no longer in the table, or was issued by another incarnation, the outcome is Unknown and
// never "not run". Only a request that names another caller or service, or whose key is malformed, is
// refused regardless of the state of the key: that request itself never runs.
package order
