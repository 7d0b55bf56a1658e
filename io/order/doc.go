// Package order gives model orders to engines over HTTP.
//
// In each time slot of an engine that this host gives orders to, it reads the report of
// the engine, compares it with the desired state and sends the order if they differ. That
// also corrects engines that ignore fencing tokens and took a late order of a host with an
// older configuration.
package order
