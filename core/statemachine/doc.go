// Package statemachine loads state charts from TOML and runs state machines on them.
package statemachine
