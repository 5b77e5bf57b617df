// Command spurspread is a balancer for long-lived connections. It accepts client connections, has package decision
// choose a server for each, and proxies their lines until they end or are moved. Its other commands check site files,
// inspect resume tokens and create keys, show the fleet as a running balancer sees it, and publish records to it.
//
// The package contains the command line, and the start, wiring and shutdown of a balancer. It must not contain
// balancing rules. A serving process runs the event loop on its main goroutine. Further goroutines each have an owner,
// which stops them and waits for them:
//
//   - signals and reloads: signalHandler, with its method stop;
//   - lookup of membership seeds: fleetMember, with its method close;
//   - the file with the last server list: serverListWriter, with its method close;
//   - log lines: logging.AsyncWriter, with its method Close.
package main
