// Package orderer carries out the promotions of the database groups that this VM watches.
package orderer
