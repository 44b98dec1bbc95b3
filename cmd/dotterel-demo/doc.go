// Command dotterel-demo starts the platform stand-in, database stand-ins and proxies on this machine. It then either runs
// a scripted demonstration (story) or keeps the processes running (fleet).
package main
