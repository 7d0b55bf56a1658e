// Package standin has small stand-ins for the platform and for targets, which speak the
// published protocols. The demo, the replay over loopback and the integration tests use
// them. Each target records every run, so that tests can check what was executed.
package standin
