// Package front serves callers over HTTP: addresses, pipelines and the status of the host.
package front
