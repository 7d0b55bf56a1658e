// Package batch makes up calls for targets that work on pieces of many requests at a time.
//
// Such a target has a fixed cost per call, so a pool reaches its capacity only with full
// calls. One host dispatches a pool for the whole fleet: it queues the jobs of all hosts and
// gives each idle target the pieces that are most urgent. A job is the pieces of one stage
// of one request.
//
// Jobs that can still make their objective come first, ordered by the arrival of their
// request and by rank; the others use what capacity is left. Results occupy room at their
// target until they are freed, and no call is made for which there is no room.
package batch
