// Package scenarios contains end-to-end tests. They run a deployment as separate
// processes, inject faults and check the guarantees of the system. The scripts
// are in testdata; the test files contain the harness that runs them.
package scenarios
