package wire

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what a caller is told about the outcome of its request.
type Outcome string

const (
	// Answered means that the request ran and its result is attached.
	Answered Outcome = "Answered"
	// Refused means that no answer is given. NotRun in the same body tells whether the request
	// is known not to have run.
	Refused Outcome = "Refused"
	// Unknown means that the request may or may not have run. It is never run again.
	Unknown Outcome = "Unknown"
)

// Step names the part of the path at which a failure arose.
type Step string

// Steps of a request, in the order in which it passes them.
const (
	StepDecode    Step = "decode"
	StepAuth      Step = "auth"
	StepReady     Step = "ready"
	StepPlan      Step = "plan"
	StepRelay     Step = "relay"
	StepLease     Step = "lease"
	StepAdmit     Step = "admit"
	StepCanary    Step = "canary"
	StepScatter   Step = "scatter"
	StepMerge     Step = "merge"
	StepOrderKey  Step = "order-key"
	StepDispatch  Step = "dispatch"
	StepBackend   Step = "backend"
	StepAddresses Step = "addresses"
)

// Reason classifies a failure for programs; Detail in the same body is for people.
type Reason string

// Reasons of refusals and unknown outcomes.
const (
	ReasonBadRequest   Reason = "BadRequest"
	ReasonTooLarge     Reason = "TooLarge"
	ReasonUnauthorized Reason = "Unauthorized"
	ReasonForbidden    Reason = "Forbidden"
	ReasonNotFound     Reason = "NotFound"
	ReasonNotReady     Reason = "NotReady"
	ReasonStopping     Reason = "Stopping"
	ReasonNoHome       Reason = "NoHome"
	ReasonNoServer     Reason = "NoServer"
	ReasonOverload     Reason = "Overload"
	ReasonDeadline     Reason = "Deadline"
	ReasonCoverage     Reason = "Coverage"
	ReasonVersion      Reason = "Version"
	ReasonQuarantine   Reason = "Quarantine"
	ReasonKeyExpired   Reason = "KeyExpired"
	ReasonKeyClosed    Reason = "KeyClosed"
	ReasonKeyForeign   Reason = "KeyForeign"
	ReasonPeer         Reason = "Peer"
	ReasonBackend      Reason = "Backend"
	ReasonInternal     Reason = "Internal"
)

// Failure is the typed error body of every interface for callers and peers, and the error
// value that carries it inside a process.
type Failure struct {
	RequestID string   `json:"RequestId,omitempty"`
	Outcome   Outcome  `json:"Outcome"`
	NotRun    bool     `json:"NotRun"`
	Forwarded bool     `json:"Forwarded"`
	Step      Step     `json:"Step"`
	Peer      string   `json:"Peer,omitempty"`
	Reason    Reason   `json:"Reason"`
	Detail    string   `json:"Detail,omitempty"`
	RetryIn   Duration `json:"RetryAfter,omitempty"`
}

// Refuse returns a failure that says "not run". Use it only where no byte of the request can
// have reached a backend server that may run it.
func Refuse(step Step, peer string, reason Reason, format string, args ...any) *Failure {
	return &Failure{
		Outcome: Refused, NotRun: true, Step: step, Peer: peer, Reason: reason,
		Detail: fmt.Sprintf(format, args...),
	}
}

// Uncertain returns a failure for a request that may have run.
func Uncertain(step Step, peer string, reason Reason, format string, args ...any) *Failure {
	return &Failure{
		Outcome: Unknown, Forwarded: true, Step: step, Peer: peer, Reason: reason,
		Detail: fmt.Sprintf(format, args...),
	}
}

// Error names the step, the peer and the reason.
func (f *Failure) Error() string {
	if f.Peer == "" {
		return fmt.Sprintf("%s: %s: %s", f.Step, f.Reason, f.Detail)
	}
	return fmt.Sprintf("%s at %s: %s: %s", f.Step, f.Peer, f.Reason, f.Detail)
}

// After returns a copy that advises the caller to wait for d before it tries again.
func (f Failure) After(d time.Duration) *Failure {
	f.RetryIn = Duration(d)
	return &f
}

// Status returns the HTTP status code that goes with the failure.
func (f *Failure) Status() int {
	switch f.Reason {
	case ReasonBadRequest:
		return 400
	case ReasonUnauthorized:
		return 401
	case ReasonForbidden:
		return 403
	case ReasonNotFound:
		return 404
	case ReasonKeyClosed, ReasonKeyExpired, ReasonKeyForeign, ReasonQuarantine:
		return 409
	case ReasonTooLarge:
		return 413
	case ReasonOverload:
		return 429
	case ReasonDeadline:
		return 504
	default:
		return 503
	}
}

// AsFailure returns the Failure in the chain of err. Any other error becomes an unknown outcome
// with ReasonInternal, so that a missing classification can never claim "not run".
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Uncertain(StepMerge, "", ReasonInternal, "%v", err)
}
