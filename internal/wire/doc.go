// Package wire holds the messages that entries and gates exchange over drpc.
// The generated files are committed; run go generate after a change of
// wire.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
