// Package demo runs a small fleet on loopback with stand-ins for the platform and the backend servers, takes a
// failure domain out under load, and checks the guarantees given to callers.
package demo
