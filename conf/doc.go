// Package conf defines the settings of a node and the configuration document that operators publish,
// with the validation that runs before either takes effect. It performs no input or output.
package conf
