// Package engine is a small stand-in for a model engine: an OpenAI-compatible
// server with a set quality, cost, speed and switches for its faults.
//
// A prompt's difficulty is a hash of its text. A version answers well if its
// quality exceeds the difficulty, so that a better version is good at all that a
// worse one is good at. Log-probabilities are higher for good answers, with noise.
package engine
