// Package admit implements admission control for requests with several stages.
//
// A request is admitted if its path through all stages, including the queueing at their pools,
// is expected to end within its objective, or late but within a fraction of the caller's
// timeout. The hosts that dispatch the pools report their backlogs. These change until the
// request reaches its later stages, and an answer that is slightly late has little value, so a
// part of the objective is held in reserve.
package admit
