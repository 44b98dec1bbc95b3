// Package report renders the result of a load run as a Markdown report with an SVG plot.
package report
