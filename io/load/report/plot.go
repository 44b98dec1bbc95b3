package report

import (
	"fmt"
	"html"
	"math"
	"strings"

	"dotterelgw/io/load/result"
)

// Dimensions of the plot in pixels.
const (
	plotWidth   = 900
	panelHeight = 200
	panelGap    = 50
	marginLeft  = 70
	marginTop   = 40
	marginRight = 20
	// marginBottom leaves room for the tick labels and the title of the time axis.
	marginBottom = 50
)

// series is one line of a panel, with one value per second.
type series struct {
	name, colour string
	values       []float64
}

// Plot returns an SVG image of the responses per second and the latency during the run. Failures are marked by a shaded
// area and a vertical line.
func Plot(measured *result.Result) string {
	var answers, latencies []series
	newSeries := func(name, colour string, value func(result.Second) float64) series {
		line := series{name: name, colour: colour}
		for _, second := range measured.Seconds {
			line.values = append(line.values, value(second))
		}
		return line
	}
	answers = append(answers,
		newSeries("ok", "#2b7a3d", func(second result.Second) float64 { return float64(second.OK) }),
		newSeries("refused", "#b07d00", func(second result.Second) float64 { return float64(second.Refused) }),
		newSeries("failed or unknown", "#b3261e", func(second result.Second) float64 { return float64(second.Failed + second.Unknown) }))
	latencies = append(latencies,
		newSeries("p50", "#1f5fa8", func(second result.Second) float64 { return second.P50MS }),
		newSeries("p99", "#7a3fa0", func(second result.Second) float64 { return second.P99MS }))

	var text strings.Builder
	height := marginTop + 2*panelHeight + panelGap + marginBottom
	fmt.Fprintf(&text, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, height)
	fmt.Fprintf(&text, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20" font-size="14">%s</text>`+"\n",
		marginLeft, html.EscapeString(measured.Experiment.Name))
	writePanel(&text, marginTop, "requests/s", answers, measured)
	writePanel(&text, marginTop+panelHeight+panelGap, "latency in ms", latencies, measured)
	fmt.Fprintf(&text, `<text x="%d" y="%d" text-anchor="middle">time since the start of the run</text>`+"\n",
		(marginLeft+plotWidth-marginRight)/2, height-8)
	text.WriteString("</svg>\n")
	return text.String()
}

func writePanel(text *strings.Builder, top int, title string, allSeries []series, measured *result.Result) {
	width := float64(plotWidth - marginLeft - marginRight)
	count := len(measured.Seconds)
	highest := 1.0
	for _, line := range allSeries {
		for _, value := range line.values {
			highest = math.Max(highest, value)
		}
	}
	highest = roundUp(highest)
	x := func(second float64) float64 { return marginLeft + width*second/math.Max(1, float64(count)) }
	y := func(value float64) float64 { return float64(top+panelHeight) - panelHeight*value/highest }

	for _, failure := range measured.Failures {
		until := failure.Until
		if until == 0 {
			until = failure.At
		}
		fmt.Fprintf(text, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="#f3dcda"><title>%s</title></rect>`+"\n",
			x(failure.At), top, math.Max(2, x(until)-x(failure.At)), panelHeight, html.EscapeString(failure.Target+": "+failure.What))
		// In the right half of the plot, labels are placed to the left of the line, so that they are not cut off.
		anchor := "start"
		if failure.At > float64(count)/2 {
			anchor = "end"
		}
		fmt.Fprintf(text, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#b3261e" stroke-dasharray="4 3"/>`+"\n",
			x(failure.At), x(failure.At), top, top+panelHeight)
		fmt.Fprintf(text, `<text x="%.1f" y="%d" fill="#b3261e" text-anchor="%s">%s</text>`+"\n",
			x(failure.At)+labelOffset[anchor], top+14, anchor, html.EscapeString(failureLabel(failure)))
	}
	const steps = 4
	for step := range steps + 1 {
		value := highest * float64(step) / steps
		fmt.Fprintf(text, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%g</text>`+"\n",
			marginLeft, plotWidth-marginRight, y(value), y(value), marginLeft-6, y(value)+4, value)
	}
	for second := 0; second <= count; second += max(1, count/10) {
		fmt.Fprintf(text, `<text x="%.1f" y="%d" text-anchor="middle">%d s</text>`+"\n", x(float64(second)), top+panelHeight+16, second)
	}
	fmt.Fprintf(text, `<text x="%d" y="%d" font-weight="bold">%s</text>`+"\n", marginLeft, top-6, title)
	legend := float64(marginLeft + 150)
	for _, line := range allSeries {
		fmt.Fprintf(text, `<text x="%.0f" y="%d" fill="%s">%s</text>`+"\n", legend, top-6, line.colour, line.name)
		legend += float64(30 + 8*len(line.name))
		var points strings.Builder
		for second, value := range line.values {
			fmt.Fprintf(&points, "%.1f,%.1f ", x(float64(second)+0.5), y(value))
		}
		fmt.Fprintf(text, `<polyline points="%s" fill="none" stroke="%s" stroke-width="1.5"/>`+"\n", strings.TrimSpace(points.String()), line.colour)
	}
}

// labelOffset is the horizontal distance in pixels between the line of a failure and its label, by text anchor.
var labelOffset = map[string]float64{"start": 4, "end": -4}

// failureLabel describes a failure and the failover gap that it caused.
func failureLabel(failure result.Failure) string {
	name := failure.Target
	if failure.Server != "" {
		name = failure.Server
	}
	text := name + ": " + failure.What
	if failure.GapMS > 0 {
		text += fmt.Sprintf(", gap %.0f ms", failure.GapMS)
	}
	return text
}

// roundUp rounds a value up to 1, 2 or 5 times a power of ten, so that the axis has round tick values.
func roundUp(value float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(value)))
	for _, factor := range []float64{1, 2, 5} {
		if value <= factor*power {
			return factor * power
		}
	}
	return 10 * power
}
