// Package proof contains end-to-end tests of a fleet of processes on loopback. They start the stand-ins and the
// nodes as processes, kill and pause nodes, inject faults into the platform and the backend servers, and compare
// the results that callers received with the requests that the backend servers executed.
package proof
