// Package experiment parses and validates the description of a load experiment. It contains the profiles of the two
// users, Frissítő and Seixal.
package experiment
