// Package examples holds example bundles.
package examples

import _ "embed"

// Tomasic is the bundle of Tomašić, a bindery, at the sizes of today.
//
//go:embed tomasic.yaml
var Tomasic []byte
