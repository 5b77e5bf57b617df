// Package siteconfig reads the site file, XML as deploy/spurspread.xsd says: the project's own settings of one
// installation. What the platform gives a balancer is in the platform's JSON (package settings); the site file has what
// the platform knows nothing of, and turns each of it on.
//
// Load reads a file with the secrets that it names. Types here mirror the XML: the tags have each attribute's name,
// default, bounds and documentation, and Schema prints them as XSD. Go names are the project's terms; XML names are
// fixed by the files in use. The package must not know who uses the settings.
package siteconfig
