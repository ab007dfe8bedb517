// Package query plans a query on one version of an index, and merges the answers of shards and the
// partial results of slices into one answer with its coverage. It does no input or output.
package query
