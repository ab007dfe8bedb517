// Package route implements the routing policies for a single shard request: replica selection,
// hedging, retry budgets and backoff, and outlier ejection. It performs no I/O and reads no clock.
package route
