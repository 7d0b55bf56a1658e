// Package order sends model orders to engines over HTTP.
//
// In each of its time slots for an engine, the host reads the report of the engine, compares it
// with the desired state and sends the order if they differ. This also corrects engines that
// ignore fencing tokens and accepted a late order from a host with an older configuration.
package order
