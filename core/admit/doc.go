// Package admit decides whether a request that needs several stages of work is begun.
//
// A request is admitted if its whole path, with what waits at the pools of its stages, is
// expected to end in time, or late but within a part of its caller's patience. Waits are told
// by the hosts that dispatch the pools. They change until the request reaches its later stages,
// and an answer that is a little late is worth little, so part of the objective is kept as
// a reserve.
package admit
