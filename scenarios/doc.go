// Package scenarios proves the system's promises with separate processes under
// failure. The scripts are in testdata; the harness that runs them is in the
// test files.
package scenarios
