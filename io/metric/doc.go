// Package metric holds the metrics of one host: a counter per refusal and retry reason
// and the counters and gauges that the other packages register by name.
package metric
