// Package standin has small stand-ins for the platform and for targets, which speak the
// published protocols. The demo, the replay over loopback and the integration tests use
// them. Each target keeps a ledger of every run, which judges what really happened.
package standin
