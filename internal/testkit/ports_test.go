package testkit

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortsAreOutsideTheRangeOfTheKernel: a connection that another process
// opens never gets a port that Port returned.
func TestPortsAreOutsideTheRangeOfTheKernel(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	assert.NilError(t, err)
	var first, last int
	_, err = fmt.Sscan(string(text), &first, &last)
	assert.NilError(t, err)
	seen := map[int]bool{}
	for range portsPerProcess {
		port := Port()
		assert.Check(t, port < first || port > last, "port %d, range %d to %d", port, first, last)
		assert.Check(t, !seen[port], "port %d was returned twice", port)
		seen[port] = true
	}
}
