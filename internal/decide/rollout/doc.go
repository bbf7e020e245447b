// Package rollout decides how far a new version is exposed and when it is stopped.
//
// Exposure is measured in answers, not in time: over the fleet only a limited number of
// answers of a rolling-in version may be out without a rating. Good ratings raise this
// allowance, so that a good version grows geometrically and a bad one is stopped after
// about log(1/alpha)/KL answers. The stop is an anytime-valid test: a mixture of
// likelihood ratios whose expectation under "not worse" is at most 1, so that it may be
// evaluated after every rating. Versions already serving are watched with a
// Shiryaev-Roberts sum of such ratios.
//
// The package is pure; all counts are passed in.
package rollout
