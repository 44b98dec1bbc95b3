// Command dotterel-demo starts the platform stand-in, database stand-ins and proxies on this machine, and either plays a
// short story or keeps them running.
package main
