package wire

// GatherQuery asks a relay to send a request to the shards of some services in the relay's failure domain and to
// return the merged answers. It is encoded as CBOR.
type GatherQuery struct {
	RequestID string `cbor:"1,keyasint"`
	// Pools are the services of the shards. Parts of the response refer to them by index.
	Pools []string `cbor:"2,keyasint"`
	// Class is the name of the route. Requests of the same route are expected to have similar latencies.
	Class string `cbor:"3,keyasint"`
	TopK  int    `cbor:"4,keyasint"`
	// ReplyIn and Timeout are in milliseconds after receipt of the query. After ReplyIn the relay sends the results
	// that it has, and after Timeout the request must have ended.
	ReplyIn uint32 `cbor:"5,keyasint"`
	Timeout uint32 `cbor:"6,keyasint"`
	// Method, URI, Host, Header and Body are those of the caller's request.
	Method string              `cbor:"7,keyasint"`
	URI    string              `cbor:"8,keyasint"`
	Host   string              `cbor:"9,keyasint"`
	Header map[string][]string `cbor:"10,keyasint,omitempty"`
	Body   []byte              `cbor:"11,keyasint,omitempty"`
}

// GatherPart is a part of the response to a GatherQuery. A relay sends several parts.
type GatherPart struct {
	// Answered are the indexes of the shards whose records are in Records. Seals are their answer seals.
	Answered []int    `cbor:"1,keyasint,omitempty"`
	Seals    []string `cbor:"2,keyasint,omitempty"`
	// Records are the greatest records of these shards, in descending order.
	Records []byte `cbor:"3,keyasint,omitempty"`
	// Latencies are the response times of the servers for Answered in milliseconds, capped at 255.
	Latencies []byte `cbor:"4,keyasint,omitempty"`
	// Failed are the indexes of the shards that the relay stopped trying. Refused are those whose requests a server
	// reported as not run. Declined are those that the relay did not send to any server.
	Failed   []int `cbor:"5,keyasint,omitempty"`
	Declined []int `cbor:"6,keyasint,omitempty"`
	Refused  []int `cbor:"7,keyasint,omitempty"`
	// Sources holds for each record the index in Answered of its shard, in two bytes, the higher one first. Older nodes
	// omit it. Cut is set if the shards have further records, none greater than the last one here.
	Sources []byte `cbor:"8,keyasint,omitempty"`
	Cut     bool   `cbor:"9,keyasint,omitempty"`
}
