// Package loompb holds the wire types that are generated from the schemas
// beside this file: the protocol between instances, and those of the engine,
// the store and the platform.
package loompb

//go:generate ../generate.sh
