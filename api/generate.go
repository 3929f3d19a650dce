// Package api holds the protobuf sources of the messages between the
// system's processes. The generated code beside them is committed.
package api

//go:generate sh -c "protoc -I . --go_out=.. --go_opt=module=endivewing endivewing/v1/*.proto"
