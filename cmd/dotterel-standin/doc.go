// Command dotterel-standin runs the stand-ins for the platform and for the databases.
package main
