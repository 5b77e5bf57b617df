// Package discovery keeps the server list and the connection to the service that publishes it.
//
// ServerList holds all servers that discovery has named since the process started, each with a number that stays.
// Client fills it: over one watch, an HTTP call whose answer never ends and brings a JSON object for each change, or
// by single calls. Each change is reported to a Watcher. The client runs on an event loop and never blocks it.
//
// The package must not decide when discovery is polled or which server is used: its user does, by Watch, Fetch and
// StopWatching. It retries on its own in one case only, after a change of address (see Client.ChangeAddress).
package discovery
