// Package api holds the protobuf sources of the messages that the processes of the
// system exchange. The generated code is committed next to them.
package api

//go:generate go tool -modfile=../.ci/generate.mod buf generate
