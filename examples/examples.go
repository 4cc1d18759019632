// Package examples holds example bundles.
package examples

import _ "embed"

// Tomasic is the bundle of Tomašić, a bindery, at its present size.
//
//go:embed tomasic.yaml
var Tomasic []byte
