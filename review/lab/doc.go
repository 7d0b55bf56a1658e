// Package lab has what the scripts of the review share: stand-ins for the platform's store, for
// engines and for clients, which follow the users' pages, and the start of edge hosts with the
// command of the deploy file.
package lab
