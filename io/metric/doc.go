// Package metric holds the metrics of one host: a counter for each refusal reason, retry reason
// and outcome, and the counters, gauges and histograms that other packages add by name.
package metric
