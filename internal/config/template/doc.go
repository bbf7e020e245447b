// Package template reads the templates by which operators drive pollencourse.
//
// A template is an INI text. It names the models and versions that its client
// accounts may use and the state of each, the request classes and which of them
// may settle for a cheaper answer, the quality target, limits, and the plain
// services. [parameters] gives defaults for "${name}" in any value; a section
// [account NAME] overrides them for one client account. A [Template] is the text
// with its version; [Template.ForAccount] gives the [Policy] of one account.
package template
