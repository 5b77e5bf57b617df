// Package restartproto has the files and packets by which two processes that serve the same listen address carry out
// a hot restart, and the rules by which they recognise each other.
//
//   - The Announcement is a file in the temporary directory. The process that serves writes it. At SIGTERM a process
//     reads it, and where it names a successor its own listener closes at once: no client is turned away.
//   - The ServerList is a file beside it, with the last list from discovery. A new process starts from it.
//   - A ConnectionOffer is a packet on a Unix socket beside them. The old process sends one for each established
//     connection, with its sockets; the answer accepts or rejects the transfer.
//
// Nothing here is needed to serve: a file that is missing, broken or of another version is as good as none. The forms
// are read by other versions of the program and must not change without a new version number.
//
// The package must not know sockets or the event loop.
package restartproto
