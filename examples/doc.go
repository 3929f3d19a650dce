// Package examples holds the settings of two deployments; tests load them.
package examples
