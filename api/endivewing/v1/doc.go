// Package wirepb holds the messages that the processes of the system exchange. They
// are generated from the .proto files in this folder.
package wirepb
