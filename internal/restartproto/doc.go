// Package restartproto defines the files and packets through which two processes with the same listen address carry out
// a hot restart, and the rules by which each recognises the other.
//
//   - An Announcement is a file in the temporary directory, written by the process that serves. At SIGTERM a process
//     reads the file. If it names a successor, the process closes its own listener at once: the kernel gives new
//     connections to the successor, so no client is turned away.
//   - A ServerList is a file beside it, with the last server list from discovery. A new process starts with this list.
//   - A ConnectionOffer is a packet on a Unix socket beside these files. The old process sends one for each established
//     connection, together with the connection's sockets; the answer accepts or rejects the transfer.
//
// A process can serve without any of them: a file that is missing, broken or of another version is ignored. Other
// versions of the program read these formats, so a changed format needs a new version number.
//
// The package must not use sockets or the event loop.
package restartproto
