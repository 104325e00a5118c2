package operator

import (
	"fmt"
	"slices"

	"github.com/galenaarch/galenaarch/adapters"
	_ "github.com/galenaarch/galenaarch/adapters/jsonstatus"     // registers its name
	_ "github.com/galenaarch/galenaarch/adapters/prometheustext" // registers its name
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/routing"
)

// checkModules reports routing policies and report adapters that no linked module
// provides. Control cannot check them: its decision must not depend on which
// modules a program links.
func checkModules(doc *config.Document) config.Problems {
	var problems config.Problems
	check := func(path, name, namespace string) {
		if known := kernel.ModuleNames(namespace); !slices.Contains(known, name) {
			problems = append(problems, &config.Problem{Path: path, Reason: fmt.Sprintf("%q: expected one of %v", name, known)})
		}
	}
	for i := range doc.Deployments {
		check(fmt.Sprintf("$.deployments[%d].policy", i), doc.Deployments[i].Policy, routing.Namespace)
	}
	for i := range doc.ServerKinds {
		check(fmt.Sprintf("$.server_kinds[%d].adapter", i), doc.ServerKinds[i].Adapter, adapters.Namespace)
	}
	return problems
}
