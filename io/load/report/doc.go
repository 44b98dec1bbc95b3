// Package report writes a result as Markdown with an SVG plot.
package report
