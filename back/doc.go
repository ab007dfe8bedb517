// Package back sends single requests to backend servers over pooled HTTP/1.1 connections. It keeps
// the connections of each server under a cap and classifies each attempt by what may have reached
// the server.
package back
