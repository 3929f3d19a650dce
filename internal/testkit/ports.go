package testkit

import (
	"os"
	"sync/atomic"
)

const (
	// firstPort is the lowest port that Port returns. All of them are below the
	// range from which kernels choose the ports of connections and of listeners
	// at port 0.
	firstPort = 10_000
	// portsPerProcess is the number of ports of one test process.
	portsPerProcess = 100
	// portRanges is the number of port ranges that test processes share.
	portRanges = 200
)

var portsDrawn atomic.Int64

// Port returns a port for a listener of a test that starts later or is closed
// for a while. No connection and no listener at port 0 gets the port meanwhile.
// Ports repeat after portsPerProcess calls. Other test processes that run at the
// same time mostly draw from other ranges, but may draw the same port, so each
// package should listen on loopback addresses of its own.
func Port() int {
	n := portsDrawn.Add(1) - 1
	return firstPort + os.Getpid()%portRanges*portsPerProcess + int(n%portsPerProcess)
}
