// Package decisions measures the daemon's decisions in virtual time. The router, the pool and the
// evidence service are the product's own; engines, ratings, membership and replication are seeded
// stand-ins. Clairvoyant and simple routing rules serve as baselines. The package has test files only.
package decisions
