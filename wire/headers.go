package wire

// Headers are the names of the headers of routed requests and their responses, between nodes, callers and backend
// servers. Deployments may replace them with their own names.
type Headers struct {
	// RequestID identifies one attempt of a caller. Servers echo it in their responses.
	RequestID string
	// Timeout is the time in milliseconds for which the sender waits for the response.
	Timeout string
	// Target identifies the only server process that may run the request.
	Target string
	// Seal proves that the response was produced by the server.
	Seal string
	// NotRun states that the server did not run the request.
	NotRun string
	// Instance is the ID of the responding server.
	Instance string
	// ColdRemaining is the time in milliseconds for which the server remains cold.
	ColdRemaining string
	// PartSeals lists the seals of the parts in a response merged from several shards. MissingParts is the number
	// of shards that are missing from it.
	PartSeals    string
	MissingParts string
	// Leaving states, with the value LeavingValue, that the server is about to stop and must get no new requests.
	Leaving string
	// RetryAfter is the time in seconds for which a server that has rejected a request wants no further ones.
	RetryAfter string
}

// LeavingValue is the value of the Leaving header of a server that is about to stop.
const LeavingValue = "1"

// DefaultHeaders returns the default header names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: "Request-Id", Timeout: "Request-Timeout", Target: "Target-Instance", Seal: "Answer-Seal",
		NotRun: "Not-Run", Instance: "Instance-Id", ColdRemaining: "Cold-For",
		PartSeals: "Part-Seals", MissingParts: "Missing-Parts",
		Leaving: "Leaving", RetryAfter: "Retry-After",
	}
}
