// Package siteconfig reads the site file, an XML file with the program's own settings for one installation. Settings
// that the platform provides are in the platform's JSON (package settings). The site file has all others; each part of
// it turns a feature on. Its schema is deploy/spurspread.xsd.
//
// Load reads a file together with the key files that it names. The types of this package mirror the XML: their tags
// hold the name, default, bounds and documentation of each attribute, from which Schema generates the schema. XML names
// can't change, because existing files use them. The package must not depend on the packages that use the settings.
package siteconfig
