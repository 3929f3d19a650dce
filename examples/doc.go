// Package examples holds sample settings of two deployments. Tests load them.
package examples
