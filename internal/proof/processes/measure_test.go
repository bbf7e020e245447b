package processes

import "fmt"

// measured prints one figure as a line that scripts/measure collects.
func measured(name string, value float64, unit string, baseline string) {
	fmt.Printf("measure %s %.4g %s baseline=%s\n", name, value, unit, baseline)
}
