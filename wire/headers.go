package wire

// Headers are the names of the headers by which nodes, callers and backend servers of routed
// requests speak. Deployments that have names of their own replace them at the edges.
type Headers struct {
	// RequestID identifies one attempt of a caller. Servers repeat it in their answers.
	RequestID string
	// Timeout is the number of milliseconds that the sender waits.
	Timeout string
	// Target names the server process that may run the request.
	Target string
	// Seal proves that an answer is the server's.
	Seal string
	// NotRun states that the server did not run the request.
	NotRun string
	// Instance is the ID of the server that answers.
	Instance string
	// ColdFor is the number of milliseconds for which the server stays cold.
	ColdFor string
	// PartSeals lists the seals of the parts in an answer of several shards, and MissingParts
	// counts the shards that are left out.
	PartSeals    string
	MissingParts string
}

// DefaultHeaders are the project's own names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: "Request-Id", Timeout: "Request-Timeout", Target: "Target-Instance", Seal: "Answer-Seal",
		NotRun: "Not-Run", Instance: "Instance-Id", ColdFor: "Cold-For",
		PartSeals: "Part-Seals", MissingParts: "Missing-Parts",
	}
}
