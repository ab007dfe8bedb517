// Package order issues order keys and keeps the table of the keys of one issuer, so that each key
// runs at most once without shared storage. It reads no clock and does no input or output.
//
// Any node parses a key with Signer.Parse and relays the order to Key.Issuer. The issuer calls
// Table.Start and dispatches the order only when Outcome.Run is set. It then reports what became
// of the attempt, in one of four ways:
//
//   - Finish: the backend server has answered.
//   - Retry: the attempt has certainly not run and another replica may be tried.
//   - Close: the attempt has certainly not run and the key is to end.
//   - Lose: the attempt may have run. A late Finish or Close still decides the key.
//
// A second send of a key that is Running waits for Outcome.Settled and then calls LookUp.
//
// A table that has forgotten a key, or never knew it because another incarnation issued it, answers
// Unknown and never "not run". Only a request that names another caller or service, or whose key is
// malformed, is refused without regard to the state of the key: that request itself never runs.
package order
