// Package engine is a stand-in for a model engine: an OpenAI-compatible server
// with a configured quality, speed and number of slots, and with faults to inject.
//
// The difficulty of a prompt is a hash of its text. A version gives a good answer
// if its quality exceeds the difficulty, so a better version gives good answers to
// all prompts that a worse one does. Log-probabilities are higher for good answers,
// with noise.
package engine
