// Package query plans a query on one version of an index, and merges the answers of shards and
// slices into one answer that states its coverage. It does no input or output.
package query
