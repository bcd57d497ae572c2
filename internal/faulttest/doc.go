// Package faulttest runs nodes, stand-ins and the platform's stand-in as real
// processes on loopback, puts every link behind a fault-injecting proxy, injects
// faults into processes and links by a seeded schedule, and checks with package
// historycheck what callers received and what the stand-ins ran.
//
// The gateway tests instead run gateway nodes as processes on the fake platform of
// package platformtest, which runs in the test process, and have checks of their own.
//
// It has tests only. A run is identified by its seed. MANGOLEDGE_SEEDS=n runs the
// seeds 1 to n; without it, the first fixedSeeds are run. So
// MANGOLEDGE_SEEDS=7 go test -run 'TestSeeds/^7$' runs seed 7 again.
//
// Lock order: site.mu is a leaf.
package faulttest
