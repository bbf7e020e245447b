package share

// Demand is an account's demand in requests per second, with the number of daemons.
type Demand struct {
	// Own is the demand at this daemon.
	Own float64
	// Reachable is the demand at all daemons that publish theirs, this one included.
	Reachable float64
	// Daemons is the number of daemons of the fleet, reachable or not.
	Daemons int
	// Live is the number of reachable daemons.
	Live int
}

// evenShare is the share of the limit that is divided evenly, whatever the demand.
const evenShare = 0.1

// Of returns this daemon's part of a limit, in requests per second.
func Of(limit float64, d Demand) float64 {
	if d.Daemons <= 0 || d.Live <= 0 {
		return limit
	}
	reachableLimit := limit * float64(d.Live) / float64(max(d.Daemons, d.Live))
	even := reachableLimit / float64(d.Live)
	if d.Reachable <= 0 || d.Own > d.Reachable {
		return even
	}
	return evenShare*even + (1-evenShare)*reachableLimit*d.Own/d.Reachable
}
