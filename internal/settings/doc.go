// Package settings translates the platform's settings into the terms of package decision. It is the only place that
// knows the platform's key names: everything behind it uses the field names of decision.Settings.
//
// Settings arrive as key=value text (the simulator's wire) or as nested JSON (the configuration file of a balancer).
// JSON is flattened to the same keys, and one parser reads both, so both programs decide by the same values. Unknown
// keys are ignored. All problems of an input are reported together, as an *InvalidError.
//
// The package must not know files, signals or sockets, and must not decide anything.
package settings
