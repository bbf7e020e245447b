// Package rollout decides how far a new version is exposed and when it is stopped.
//
// Exposure is spent in answers, not in minutes: over the fleet only so many answers
// of a rolling-in version may be out without a rating. Good ratings widen the
// allowance, so that a good version grows geometrically and a bad one is stopped
// after a number of answers near log(1/alpha)/KL. The stop is an anytime-valid
// test: a mixture of likelihood ratios whose expectation under "not worse" is at
// most 1, so that it may be looked at after every rating. Versions already serving
// are watched by a Shiryaev-Roberts sum of such ratios.
//
// The package is pure; all counts are passed in.
package rollout
