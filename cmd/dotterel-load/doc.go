// Command dotterel-load runs load experiments against proxies, checks what sessions saw and what was stored, and
// compares results.
package main
