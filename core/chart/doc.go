// Package chart loads state charts from TOML files and interprets them.
package chart
