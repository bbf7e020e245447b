// Package rater is the client of the service that rates answers of models.
//
// An answer is rated good or poor. Ratings are slow and have a cost, so only a sample of
// the answers is rated, in the background and never while a request waits.
package rater
