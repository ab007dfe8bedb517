// Package back sends single requests to backend servers over pooled HTTP/1.1 connections. It keeps
// the connections of each server under a cap and classifies each attempt by what may have reached
// the server.
//
// A request is one write, so that Unsent is certain. Nothing is sent twice by this package; only a
// reused connection that took no byte is replaced within an attempt.
//
// A connection counts toward the cap from before its dial until the server has closed it. To retire
// a connection, the client closes its sending side, which cancels the request at the server, and
// waits for the server to close the other. A silent connection is reset after
// Config.RetireTimeout, and only then replaced.
package back
