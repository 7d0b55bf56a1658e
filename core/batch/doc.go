// Package batch schedules jobs on targets that process pieces of many requests in one call.
//
// A call has a fixed cost, so a pool reaches its capacity only with full calls. One host
// dispatches a pool for all hosts: it queues their jobs and sends the most urgent pieces to
// each idle target. A job consists of the pieces of one stage of one request.
//
// Jobs that can still meet their objective come first, ordered by request arrival and
// priority. Late jobs use the remaining capacity. Results occupy memory at their target until
// they are released, and no call is made whose results do not fit.
package batch
