// Package experiments embeds the experiment files that belong to the project. Package experiment parses and runs them.
package experiments

import "embed"

// Files contains each experiment as NAME.xml.
//
//go:embed *.xml
var Files embed.FS
