// Package examples embeds example configuration documents that match the size
// of the users' present deployments.
package examples

import _ "embed"

// HaddonPryce is the configuration document of a quoting and ordering deployment.
//
//go:embed haddon-pryce.yaml
var HaddonPryce []byte

// ChauffeChatons is the configuration document of a heating history deployment.
//
//go:embed chauffe-chatons.yaml
var ChauffeChatons []byte
