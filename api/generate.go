// Package api holds the protobuf sources of the messages that the processes of the
// system exchange. The generated code is committed next to them.
package api

//go:generate sh -c "protoc -I . --go_out=.. --go_opt=module=endivewing endivewing/v1/*.proto"
