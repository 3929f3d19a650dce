// Package api holds the protobuf sources of the messages between the
// system's processes. The generated code beside them is committed.
package api

//go:generate protoc -I . --go_out=.. --go_opt=module=endivewing endivewing/v1/wire.proto endivewing/v1/control.proto endivewing/v1/dispatch.proto endivewing/v1/quorum.proto
