// Package contract defines an organisation's contract, its TOML format and its validation.
package contract
