// Package faulttest runs nodes, stand-ins and the platform's stand-in as real
// processes on loopback, puts every link behind a fault-injecting proxy, injects
// faults into processes and links by a seeded schedule, and checks with package
// historycheck what callers received and what the stand-ins ran.
//
// It has tests only. A run is identified by its seed; go test -run 'Seeds/7' runs
// seed 7 again. MANGOLEDGE_SEEDS=n runs the seeds 1 to n.
//
// Lock order: site.mu is a leaf.
package faulttest
