// Package standin has small stand-ins for the platform and for targets, which speak the
// protocols of package io/wire. The demo, the replay over loopback and the integration tests
// run daemons against them. Each target records every run, so that tests can check what was
// executed. The stand-ins for edge hosts are in package platform/standin.
package standin
