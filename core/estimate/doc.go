// Package estimate learns distributions, such as service times and sizes, from own
// measurements.
//
// A Distribution is a histogram over logarithmic buckets in which older samples weigh
// less, so that a change of pace shows after about a window of samples. An Estimator
// keeps one distribution per key and caches the few statistics that a decision reads.
package estimate
