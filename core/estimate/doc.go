// Package estimate estimates distributions, such as those of service times and sizes, from
// local measurements.
//
// A Distribution is a histogram with logarithmic buckets and exponentially decaying weights: a
// change shows after about one window of samples. An Estimator keeps one distribution per key
// and caches the statistics that decisions need.
package estimate
