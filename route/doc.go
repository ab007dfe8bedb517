// Package route holds the decisions about a single shard request: which replica gets it, when a
// hedge is sent, when it may be retried, and which servers are ejected as outliers. It does no
// input or output and reads no clock.
package route
