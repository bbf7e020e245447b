package decisions

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// figure is a measured value and what it is compared to: a bound, or baselines as "name:value,…".
type figure struct {
	name     string
	value    float64
	unit     string
	baseline string
}

var figures []figure

// measured prints a figure as a line that scripts/measure collects, and keeps it for the report.
func measured(name string, value float64, unit, baseline string) {
	fmt.Printf("measure %s %.4g %s baseline=%s\n", name, value, unit, baseline)
	figures = append(figures, figure{name, value, unit, baseline})
}

// TestMain writes the report into the directory $REPORT, if that is set and all tests pass.
func TestMain(m *testing.M) {
	code := m.Run()
	if dir := os.Getenv("REPORT"); dir != "" && code == 0 {
		if err := writeReport(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// writeReport writes a table of all figures and a bar chart of each figure with named baselines.
func writeReport(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	var page strings.Builder
	page.WriteString("# Decisions, measured\n\n| figure | value | unit | baseline |\n| --- | --- | --- | --- |\n")
	for _, f := range figures {
		fmt.Fprintf(&page, "| %s | %.4g | %s | %s |\n", f.name, f.value, f.unit, f.baseline)
	}
	for _, f := range figures {
		names, values := bars(f)
		if len(names) < 2 {
			continue
		}
		file := f.name + ".png"
		if err := drawBars(filepath.Join(dir, file), f, names, values); err != nil {
			return err
		}
		fmt.Fprintf(&page, "\n![%s](%s)\n", f.name, file)
	}
	return os.WriteFile(filepath.Join(dir, "report.md"), []byte(page.String()), 0o600)
}

// bars returns the names and values of the figure and of its named baselines. It ignores what follows an "@".
func bars(f figure) ([]string, plotter.Values) {
	names, values := []string{"pollencourse"}, plotter.Values{f.value}
	for part := range strings.SplitSeq(f.baseline, ",") {
		name, text, ok := strings.Cut(part, ":")
		text, _, _ = strings.Cut(text, "@")
		v, err := strconv.ParseFloat(text, 64)
		if ok && err == nil {
			names, values = append(names, name), append(values, v)
		}
	}
	return names, values
}

func drawBars(path string, f figure, names []string, values plotter.Values) error {
	p := plot.New()
	p.Title.Text = f.name
	p.Y.Label.Text = f.unit
	p.Y.Min = 0
	chart, err := plotter.NewBarChart(values, vg.Points(30))
	if err != nil {
		return err
	}
	p.Add(chart)
	p.NominalX(names...)
	return p.Save(12*vg.Centimeter, 8*vg.Centimeter, path)
}
