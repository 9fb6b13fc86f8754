// Package loomtrial runs stand-ins and several instances of one site in one
// process, over real sockets on loopback, plays a load at them with faults, and
// reports what was measured.
package loomtrial
