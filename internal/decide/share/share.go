package share

// Demand is what is known of an account's demand, in requests a second.
type Demand struct {
	// Own is this daemon's demand.
	Own float64
	// Reachable is the demand of all daemons that publish theirs, own included.
	Reachable float64
	// Daemons is the number of daemons of the fleet, whether they answer or not.
	Daemons int
	// Live is the number of daemons that answer.
	Live int
}

// floorPart is the part of the limit that is divided evenly, whatever the demand.
const floorPart = 0.1

// Of returns this daemon's part of a limit, in requests a second.
func Of(limit float64, d Demand) float64 {
	if d.Daemons <= 0 || d.Live <= 0 {
		return limit
	}
	side := limit * float64(d.Live) / float64(max(d.Daemons, d.Live))
	even := side / float64(d.Live)
	if d.Reachable <= 0 || d.Own > d.Reachable {
		return even
	}
	return floorPart*even + (1-floorPart)*side*d.Own/d.Reachable
}
