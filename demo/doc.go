// Package demo runs a small fleet on loopback with stand-ins of the platform and the backend
// servers, takes a failure domain out under load and checks what the users were promised.
package demo
