package wire

// GatherQuery asks a relay to send a request to the shards of some services in its failure domain
// and to return the merged answers. It is encoded as CBOR.
type GatherQuery struct {
	RequestID string `cbor:"1,keyasint"`
	// Pools are the services of the shards. Parts of the answer name them by their index.
	Pools []string `cbor:"2,keyasint"`
	// Class is the route, which groups requests with alike latencies.
	Class string `cbor:"3,keyasint"`
	TopK  int    `cbor:"4,keyasint"`
	// ReplyIn and Timeout are milliseconds from the receipt: when the relay sends what it has, and
	// when the request must have ended.
	ReplyIn uint32 `cbor:"5,keyasint"`
	Timeout uint32 `cbor:"6,keyasint"`
	// Method, URI, Host, Header and Body are those of the caller's request.
	Method string              `cbor:"7,keyasint"`
	URI    string              `cbor:"8,keyasint"`
	Host   string              `cbor:"9,keyasint"`
	Header map[string][]string `cbor:"10,keyasint,omitempty"`
	Body   []byte              `cbor:"11,keyasint,omitempty"`
}

// GatherPart is a part of the answer to a GatherQuery. A relay sends several of them.
type GatherPart struct {
	// Answered are the indexes of the shards whose records are in Records, with their seals.
	Answered []int    `cbor:"1,keyasint,omitempty"`
	Seals    []string `cbor:"2,keyasint,omitempty"`
	// Records are the greatest records of these shards, greatest first.
	Records []byte `cbor:"3,keyasint,omitempty"`
	// Latencies are the times in milliseconds that the servers took for Answered, at most 255.
	Latencies []byte `cbor:"4,keyasint,omitempty"`
	// Failed are the indexes of shards that the relay has given up, Refused those of which a server
	// said that it has not run them, and Declined those that the relay has sent to no server.
	Failed   []int `cbor:"5,keyasint,omitempty"`
	Declined []int `cbor:"6,keyasint,omitempty"`
	Refused  []int `cbor:"7,keyasint,omitempty"`
}
