// Package chart loads state charts from TOML and runs state machines on them.
package chart
