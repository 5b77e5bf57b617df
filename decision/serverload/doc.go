// Package serverload estimates how much of a server's capacity is used, from everything that is reported: the loads of
// connections and hints of them, weights that fall with use, and load reports. From the utilization it derives how
// well one more connection would go to a server, whether the server has capacity for it, which connections an
// overloaded server should lose, and when a load report is worth its cost.
//
// It does not know sockets, clocks or the rules for placement: the core decides which server is chosen. It keeps one
// Gauge per server, one LoadModel for all of them, and one ReportBudget. Loads are in cores, utilization is load over
// capacity, times are monotime.Micros. A warm-up factor is the part of its capacity that a server has reached since
// its start, above 0 up to 1.
//
// Invariant: the selection weight of a server falls with its utilization, and what is moved off a server never exceeds
// what is too much for it by more than moveOvershoot.
package serverload
