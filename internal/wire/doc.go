// Package wire defines the drpc services and messages of gates, entries and hosts.
// The generated files are committed: run go generate after changing wire.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
