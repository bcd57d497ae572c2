//go:build race

package bench

// poisonSeeds is how many seeds the poison test runs. The race detector makes a run twenty
// times slower.
const poisonSeeds = 10
