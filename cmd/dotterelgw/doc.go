// Command dotterelgw runs the database proxy, validates its settings files and prints its version.
package main
