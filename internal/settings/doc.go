// Package settings translates the platform's settings into a decision.Settings. It is the only package that knows the
// platform's key names; all others use the field names of decision.Settings.
//
// Settings arrive as key=value text (from the simulator) or as nested JSON (the configuration file of a balancer). JSON
// is flattened to the same keys, and one parser reads both, so that a balancer decides by the same values in the
// simulator and in production. Unknown keys are ignored. All problems of an input are reported together, as an
// *InvalidError.
//
// The package must not access files, signals or sockets, and must not make decisions.
package settings
