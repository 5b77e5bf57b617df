// Command spurspread is one balancer for long-lived connections. It accepts client connections, has package decision
// choose a server for each, and proxies their lines until they end or are moved. Its other commands check site files,
// inspect resume tokens, and show the fleet as a running balancer sees it.
//
// This package has the command line, the wiring of a balancer, and its start and end; it must hold no rule of
// balancing. A serving process runs the event loop on its main goroutine. It has four more goroutines, each with an
// owner that ends it and waits for it:
//
//   - signals: signalHandler, ended by its stop;
//   - addresses of membership seeds: fleetMember, ended by its close;
//   - the file with the last server list: serverListWriter, ended by its close;
//   - log lines: logging.AsyncWriter, ended by its Close.
package main
