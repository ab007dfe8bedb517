package wire

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is the outcome of a request as reported to the caller.
type Outcome string

const (
	// Answered means that the request ran and that the response contains its result.
	Answered Outcome = "Answered"
	// Refused means that the request has no result. NotRun in the same body reports whether the request is known
	// not to have run.
	Refused Outcome = "Refused"
	// Unknown means that the request may or may not have run. It is never retried.
	Unknown Outcome = "Unknown"
)

// Step is the processing step of a request at which a failure occurred.
type Step string

// Steps of a request, in processing order.
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

// Reason is the machine-readable class of a failure; Detail in the same body is the human-readable description.
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

// Failure is the error body of all interfaces for callers and peers, and the Go error that represents it within a
// process.
type Failure struct {
	RequestID  string   `json:"RequestId,omitempty"`
	Outcome    Outcome  `json:"Outcome"`
	NotRun     bool     `json:"NotRun"`
	Forwarded  bool     `json:"Forwarded"`
	Step       Step     `json:"Step"`
	Peer       string   `json:"Peer,omitempty"`
	Reason     Reason   `json:"Reason"`
	Detail     string   `json:"Detail,omitempty"`
	RetryAfter Duration `json:"RetryAfter,omitempty"`
}

// Refuse returns a failure with NotRun set. Use it only if no byte of the request can have reached a backend server
// that may run it.
func Refuse(step Step, peer string, reason Reason, format string, args ...any) *Failure {
	return &Failure{
		Outcome: Refused, NotRun: true, Step: step, Peer: peer, Reason: reason,
		Detail: fmt.Sprintf(format, args...),
	}
}

// UnknownOutcome returns a failure for a request that may have run.
func UnknownOutcome(step Step, peer string, reason Reason, format string, args ...any) *Failure {
	return &Failure{
		Outcome: Unknown, Forwarded: true, Step: step, Peer: peer, Reason: reason,
		Detail: fmt.Sprintf(format, args...),
	}
}

// Error returns a message with the step, the peer if it is set, the reason and the detail.
func (f *Failure) Error() string {
	if f.Peer == "" {
		return fmt.Sprintf("%s: %s: %s", f.Step, f.Reason, f.Detail)
	}
	return fmt.Sprintf("%s at %s: %s: %s", f.Step, f.Peer, f.Reason, f.Detail)
}

// WithRetryAfter returns a copy that advises the caller to wait for d before it retries.
func (f Failure) WithRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = Duration(d)
	return &f
}

// Status returns the HTTP status code for the reason of the failure.
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

// AsFailure returns the Failure in the chain of err. Any other error is converted to an unknown outcome with
// ReasonInternal, so that an unclassified error is never reported as not run.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return UnknownOutcome(StepMerge, "", ReasonInternal, "%v", err)
}
