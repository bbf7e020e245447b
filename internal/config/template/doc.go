// Package template parses the templates with which operators configure pollencourse.
//
// A template is a text in INI format. It defines the client accounts, the models
// and versions that they may use with the state of each, the request classes with
// their quality targets and whether they may settle for a cheaper answer, limits,
// and the plain services. [parameters] gives defaults for "${name}" in any value;
// a section [account NAME] overrides them for one client account. A [Template] is
// a parsed revision; [Template.Accounts] holds the [Policy] of each account.
package template
