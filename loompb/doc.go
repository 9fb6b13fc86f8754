// Package loompb contains the protocol buffer messages and gRPC stubs that are
// generated from the .proto files in this directory. They define the protocols
// between instances, and those of the engine, the store and the platform.
package loompb

//go:generate ../generate.sh
