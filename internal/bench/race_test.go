//go:build race

package bench

// poisonSeeds is how many seeds the poison test plays under the race detector,
// which takes twenty times as long.
const poisonSeeds = 10
