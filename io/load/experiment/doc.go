// Package experiment reads and checks the description of a load experiment, and holds the profiles of the two users.
package experiment
