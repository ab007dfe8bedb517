// Package conf holds the settings of a node and the configuration document that operators
// publish, with the checks that run before either takes effect. It does no input or output.
package conf
