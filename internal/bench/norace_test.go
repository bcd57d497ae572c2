//go:build !race

package bench

// poisonSeeds is how many seeds the poison test runs.
const poisonSeeds = 150
