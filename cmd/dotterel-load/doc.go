// Command dotterel-load runs load experiments against proxies, checks the reads of the sessions and the stored rows for
// violations of the guarantees, and compares results.
package main
