// Package serverload estimates how much of a server's capacity is used, from the loads of its connections (reported or
// hinted), from listed weights that fall with use, and from load reports. From this utilization it derives a server's
// selection weight for one more connection, whether the server has capacity for it, which connections an overloaded
// server should lose, and whether a load report is worth its cost.
//
// It has no sockets, no clock and no placement rules; the core decides which server is selected. The core keeps one
// Gauge per server, one LoadModel for all servers, and one ReportBudget. Loads are in cores, utilization is load
// divided by capacity, and times are monotime.Micros. A warm-up factor, above 0 and at most 1, is the fraction of its
// capacity that a server has reached since it started.
//
// Invariant: the selection weight of a server falls as its utilization rises, and the load selected to be moved off a
// server is at most moveOvershoot times its excess load.
package serverload
