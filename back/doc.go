// Package back sends single requests to backend servers over pooled HTTP/1.1 connections. It enforces
// a connection limit per server and classifies each attempt by whether the request may have reached
// the server.
//
// A shard query or order is written with a single write, so that the outcome Unsent is certain. The
// package never sends a request twice. An attempt moves to another connection only if no byte could be
// written on a reused one.
//
// A connection counts toward the limit from before its dial until the server has closed it. To retire
// a connection, the client closes its sending side, which cancels the request at the server, and
// waits for the server to close the other side. A connection that the server does not close is reset
// after Config.RetireTimeout, and only then replaced.
package back
