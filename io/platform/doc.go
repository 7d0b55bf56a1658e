// Package platform reads the configuration service and the host list by HTTP long poll.
// Nothing is ever written to them. Each read counts against the call budget of the
// platform, a waiting read as one call.
package platform
