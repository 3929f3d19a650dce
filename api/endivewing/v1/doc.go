// Package wirepb holds the generated messages between the system's processes.
// The sources are the .proto files beside this one.
package wirepb
