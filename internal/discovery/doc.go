// Package discovery keeps the list of servers up to date, from the discovery service that publishes it over HTTP.
//
// ServerList holds every server that discovery has listed since the process started, each under a number that does not
// change. Client updates the list, either by a watch (an HTTP call whose response does not end and carries a JSON
// object for each change) or by single fetches, and reports each update to a Watcher. The client runs on an event loop
// and never blocks it.
//
// The package does not decide when to poll discovery or which server to use. Its caller does, and calls Watch, Fetch
// and StopWatching. The client retries by itself in one case only, after a change of address (see
// Client.ChangeAddress).
package discovery
